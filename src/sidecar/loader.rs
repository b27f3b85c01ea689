use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use spdlog::{info, warn};
use tokio::time::{sleep, timeout};

use super::Queue;
use super::signals::{LeavingCause, Signals};
use crate::lease::Lease;
use crate::net::{HttpClient, collect};
use crate::platform::{InstanceList, Phase, Table};
use crate::settings::{CurrentSettings, Models};

/// Interval between two checks of the engine's models.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Live instances of a service per load lease, so that at most one in this many loads at a time. A
/// service with fewer instances has one lease.
const INSTANCES_PER_LEASE: usize = 8;
/// Duration of the lease under which an engine loads.
const LEASE_TIME: Duration = Duration::from_secs(10);
/// Maximum time for one load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks whether the engine still runs a request.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_BODY_BYTES: u64 = 1 << 20;

/// An order to an engine to load models.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fencing token of the lease under which the order is given.
    pub fence: u64,
    /// Models that the engine has to hold.
    pub models: Models,
}

/// Loads the models, adapters and version that the service's settings name into the engine. Only a
/// few engines of a service load at a time, each under a lease, and none while it runs a request.
#[derive(Debug)]
pub(super) struct Loader<P> {
    pub(super) platform: Arc<P>,
    pub(super) engine: SocketAddr,
    pub(super) service: String,
    /// Name of this instance in the platform's list.
    pub(super) name: String,
    pub(super) current: CurrentSettings,
    pub(super) signals: Signals,
    pub(super) queue: Arc<Queue>,
    pub(super) client: HttpClient,
}

impl<P: Table + InstanceList> Loader<P> {
    /// Compares the engine with the settings periodically and loads what differs, until the process
    /// ends.
    pub(super) async fn run(self) {
        loop {
            if let Some(wanted) = self.models_to_load().await {
                self.load(&wanted).await;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns all models that the settings name if the engine holds others. An engine that does
    /// not report its models is left alone.
    async fn models_to_load(&self) -> Option<Models> {
        let current = self.current.get();
        let wanted = current.service(&self.service)?.models.clone()?;
        let held: Models = self.call(Method::GET, "/models", Bytes::new(), CALL_TIMEOUT).await?;
        (held != wanted).then_some(wanted)
    }

    async fn load(&self, wanted: &Models) {
        let Some(index) = self.lease_index().await else { return };
        let name = format!("load/{}/{index}", self.service);
        let incarnation = self.signals.incarnation;
        let mut lease = Lease::new(Arc::clone(&self.platform), &name, incarnation, LEASE_TIME);
        // A lease that another process holds is not acquired: the first read only starts the timer
        // of its expiry in this `Lease`.
        let Some(fence) = self.acquire_lease(&mut lease).await else { return };
        info!("loader: {} loads {} {}", self.name, wanted.model, wanted.version);
        self.signals.set_leaving(LeavingCause::Load, true);
        let loading = self.load_when_idle(fence, wanted);
        let done = run_under_lease(&mut lease, loading).await;
        self.signals.set_leaving(LeavingCause::Load, false);
        if done != Some(true) {
            warn!("loader: {} did not load {} {}", self.name, wanted.model, wanted.version);
        }
        lease.release().await;
    }

    /// Returns the index of the load lease that this instance uses. Instances with the same index
    /// share a lease and load one at a time, so that enough others are left to serve.
    async fn lease_index(&self) -> Option<usize> {
        let list = self.platform.list().await.ok()?;
        let live = list.iter().filter(|instance| instance.phase == Phase::Live);
        let mut names: Vec<&str> = live
            .filter(|instance| instance.service == self.service)
            .map(|instance| instance.name.as_str())
            .collect();
        names.sort_unstable();
        let index = names.iter().position(|name| *name == self.name)?;
        Some(index % (names.len() / INSTANCES_PER_LEASE).max(1))
    }

    /// Acquires the lease and returns a new fencing token.
    async fn acquire_lease(&self, lease: &mut Lease<P>) -> Option<u64> {
        match lease.hold().await {
            Ok(_) => lease.advance().await.ok(),
            Err(_) => None,
        }
    }

    /// Waits until no request runs, then sends the order. Returns whether the engine then holds the
    /// models.
    async fn load_when_idle(&self, fence: u64, wanted: &Models) -> bool {
        while self.queue.load().running > 0 {
            sleep(IDLE_POLL_INTERVAL).await;
        }
        let order = LoadOrder { fence, models: wanted.clone() };
        let Ok(body) = serde_json::to_vec(&order) else { return false };
        let loaded: Option<Models> =
            self.call(Method::POST, "/models", body.into(), LOAD_TIMEOUT).await;
        loaded.as_ref() == Some(wanted)
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        max_time: Duration,
    ) -> Option<T> {
        let uri = format!("http://{}{path}", self.engine);
        let request = Request::builder().method(method).uri(uri).body(Full::new(body)).ok()?;
        let answer = timeout(max_time, self.client.request(request)).await.ok()?.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = collect(answer.into_body(), MAX_BODY_BYTES, CALL_TIMEOUT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}

/// Runs a task while renewing a lease; returns `None` if the lease is lost before the task ends.
async fn run_under_lease<P: Table, T>(
    lease: &mut Lease<P>,
    task: impl Future<Output = T>,
) -> Option<T> {
    let mut task = std::pin::pin!(task);
    loop {
        tokio::select! {
            done = &mut task => return Some(done),
            () = sleep(LEASE_TIME / 4) => {}
        }
        if lease.hold().await.is_err() && lease.fence().is_none() {
            return None;
        }
    }
}
