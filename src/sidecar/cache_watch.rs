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

/// Pause between two looks at an engine's cache events.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Pause while the service is no engine, or the engine publishes nothing.
const IDLE_PAUSE: Duration = Duration::from_secs(10);
const LOOK_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_BODY_BYTES: u64 = 1 << 20;

/// Follows the cache events that an engine publishes, late and with gaps.
#[derive(Debug)]
pub(super) struct CacheWatch {
    client: HttpClient,
    engine: SocketAddr,
    service: String,
    current: CurrentSettings,
    signals: Signals,
    seen: u64,
}

impl CacheWatch {
    pub(super) fn new(
        engine: SocketAddr,
        service: &str,
        current: CurrentSettings,
        signals: Signals,
    ) -> Self {
        let (client, service) = (h1_client(), service.to_owned());
        Self { client, engine, service, current, signals, seen: 0 }
    }

    /// Looks again and again, until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            let pause = if self.is_engine() && self.look().await { LOOK_PAUSE } else { IDLE_PAUSE };
            sleep(pause).await;
        }
    }

    fn is_engine(&self) -> bool {
        let current = self.current.get();
        current.service(&self.service).is_some_and(|service| service.kind == Kind::Engine)
    }

    /// Looks once, and tells whether the engine publishes events.
    async fn look(&mut self) -> bool {
        let Some(events) = self.fetch().await else {
            return false;
        };
        for event in events {
            // What a missing event said is not known: prefixes that went out unseen only cost a
            // prefill, so affinity may go wrong for a while and nothing else does.
            self.seen = self.seen.max(event.seq);
            self.signals.cache(event);
        }
        true
    }

    async fn fetch(&self) -> Option<Vec<CacheEvent>> {
        let uri = format!("http://{}/cache-events?after={}", self.engine, self.seen);
        let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
        let answer = timeout(LOOK_TIMEOUT, self.client.request(request)).await.ok()?.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = collect(answer.into_body(), MAX_BODY_BYTES, LOOK_TIMEOUT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
