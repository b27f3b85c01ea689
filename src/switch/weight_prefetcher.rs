use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

use super::MapId;
use crate::group::LayerMap;
use crate::net::{HttpClient, h1_client};

/// Max time for an engine to fetch the weights of one switch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(120);

/// Why an engine did not fetch the weights that a map needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum PrefetchError {
    /// the engine refused the order
    Refused,
    /// the engine does not answer: {0}
    Unreachable(String),
}

/// Has an engine fetch expert weights.
pub trait WeightPrefetcher: Send + Sync + 'static {
    /// Has the rank fetch the weights that the map needs on it, in addition to those that it holds.
    /// Returns when it holds them.
    ///
    /// # Errors
    /// [`PrefetchError`] if the engine refuses or does not answer.
    fn prefetch(
        &self,
        fence: u64,
        id: MapId,
        layers: &[LayerMap],
    ) -> impl Future<Output = Result<(), PrefetchError>> + Send;
}

/// Sends the orders over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightPrefetcher {
    client: HttpClient,
    engine: SocketAddr,
}

/// Request body of an order to prefetch.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct PrefetchOrder {
    /// Fencing token.
    pub fence: u64,
    /// ID of the map.
    pub id: MapId,
    /// Layers of the map.
    pub layers: Vec<LayerMap>,
}

impl HttpWeightPrefetcher {
    /// A client for the engine at an address.
    pub fn new(engine: SocketAddr) -> Self {
        Self { client: h1_client(), engine }
    }
}

impl WeightPrefetcher for HttpWeightPrefetcher {
    async fn prefetch(
        &self,
        fence: u64,
        id: MapId,
        layers: &[LayerMap],
    ) -> Result<(), PrefetchError> {
        let unreachable = |detail: String| PrefetchError::Unreachable(detail);
        let order = PrefetchOrder { fence, id, layers: layers.to_vec() };
        let body = serde_json::to_vec(&order).map_err(|err| unreachable(err.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/group/prefetch", self.engine))
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| unreachable(err.to_string()))?;
        let sent = timeout(FETCH_TIMEOUT, self.client.request(request)).await;
        let answer = sent.map_err(|_| unreachable("timeout".to_owned()))?;
        let answer = answer.map_err(|err| unreachable(err.to_string()))?;
        if answer.status().is_success() { Ok(()) } else { Err(PrefetchError::Refused) }
    }
}
