use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use super::cache_event::CacheEvent;
use super::signals::Signals;
use crate::net::{HttpClient, collect, h1_client};
use crate::settings::{CurrentSettings, Kind};

/// Interval between two polls of an engine's cache events.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two polls while the service is not an engine or the engine publishes no
/// events.
const IDLE_INTERVAL: Duration = Duration::from_secs(10);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_BODY_BYTES: u64 = 1 << 20;

/// Polls the cache events that an engine publishes. They may be late and have gaps.
#[derive(Debug)]
pub(super) struct CacheWatch {
    client: HttpClient,
    engine: SocketAddr,
    service: String,
    current: CurrentSettings,
    signals: Signals,
    /// Highest sequence number received.
    last_seq: u64,
}

impl CacheWatch {
    pub(super) fn new(
        engine: SocketAddr,
        service: &str,
        current: CurrentSettings,
        signals: Signals,
    ) -> Self {
        let (client, service) = (h1_client(), service.to_owned());
        Self { client, engine, service, current, signals, last_seq: 0 }
    }

    /// Polls until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            let interval =
                if self.is_engine() && self.poll().await { POLL_INTERVAL } else { IDLE_INTERVAL };
            sleep(interval).await;
        }
    }

    fn is_engine(&self) -> bool {
        let current = self.current.get();
        current.service(&self.service).is_some_and(|service| service.kind == Kind::Engine)
    }

    /// Polls once, and returns whether the engine publishes events.
    async fn poll(&mut self) -> bool {
        let Some(events) = self.fetch().await else {
            return false;
        };
        for event in events {
            // Gaps are ignored, since the content of a missing event is unknown. A missed eviction
            // only costs a prefill: for a while the entries' prefix affinity may send requests to
            // an engine that no longer caches the prefix, and nothing else is affected.
            self.last_seq = self.last_seq.max(event.seq);
            self.signals.report_cache_event(event);
        }
        true
    }

    async fn fetch(&self) -> Option<Vec<CacheEvent>> {
        let uri = format!("http://{}/cache-events?after={}", self.engine, self.last_seq);
        let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
        let answer = timeout(POLL_TIMEOUT, self.client.request(request)).await.ok()?.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = collect(answer.into_body(), MAX_BODY_BYTES, POLL_TIMEOUT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
