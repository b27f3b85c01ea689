use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::{SubscriptionResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink};
use smallvec::SmallVec;
use spdlog::{debug, info};
use tokio::sync::broadcast::error::TryRecvError;
use tokio::sync::{broadcast, mpsc};
use tokio::time::sleep;

use super::Queue;
use super::cache_event::CacheEvent;
use super::signals::{LeavingCause, Signals};
use crate::id::Incarnation;
use crate::metrics::{Event, Meter};
use crate::peer::Hint;
use crate::peer::{CrashReport, Hello, LinkReport, LinkRpcServer, SettingsServer};
use crate::settings::CurrentSettings;

/// Minimum interval between two reports on one link.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// Bytes per second that a sidecar spends on reports to all its links while nothing changes. With
/// many links, each gets its reports less often, which is acceptable because every response carries
/// the load as well.
const REPORT_BYTES_PER_SECOND: f64 = 1_200.0;
/// Usual size of a report in bytes, with the overhead of the protocols.
const REPORT_BYTES: f64 = 320.0;
/// Bytes that a report takes besides its text: JSON-RPC, WebSocket, TCP and IP.
const REPORT_OVERHEAD_BYTES: usize = 160;

/// RPC server for the links that entries open.
#[derive(Clone, Debug)]
pub struct LinkServer {
    pub(super) service: String,
    pub(super) settings_server: SettingsServer,
    pub(super) signals: Signals,
    pub(super) queue: Arc<Queue>,
    pub(super) current: CurrentSettings,
    /// Announces newer revisions of the settings to the sidecar's settings follower.
    pub(super) hints: mpsc::Sender<Hint>,
    /// Minimum interval between reports while nothing changes.
    pub(super) report_interval: Duration,
    pub(super) meter: Arc<Meter>,
    pub(super) links: Links,
}

/// Entries with an open link, and the number of links of each.
#[derive(Clone, Debug, Default)]
pub struct Links(Arc<Mutex<HashMap<Incarnation, u32>>>);

impl Links {
    fn add(&self, from: Incarnation) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry(from).or_default() += 1;
    }

    fn remove(&self, from: Incarnation) {
        let mut links = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = links.get_mut(&from) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            links.remove(&from);
        }
    }

    /// Returns the number of linked entries.
    pub fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

#[async_trait]
impl LinkRpcServer for LinkServer {
    async fn open(&self, pending: PendingSubscriptionSink, hello: Hello) -> SubscriptionResult {
        if let Err(err) = self.settings_server.authorize(&hello.key) {
            pending.reject(err).await;
            return Ok(());
        }
        let sink = pending.accept().await?;
        debug!("link: entry {} opened a link", hello.from);
        self.links.add(hello.from);
        self.send_reports(&sink).await;
        self.links.remove(hello.from);
        Ok(())
    }

    async fn revision(&self, hello: Hello, revision: u64) -> Result<(), ErrorObjectOwned> {
        self.settings_server.authorize(&hello.key)?;
        self.meter.count(Event::Control);
        if revision > self.current.get().revision {
            self.hints.try_send(Hint { revision, peer: Some(hello.peer) }).ok();
        }
        Ok(())
    }

    async fn drain(&self, hello: Hello, drain: bool) -> Result<(), ErrorObjectOwned> {
        self.settings_server.authorize(&hello.key)?;
        info!("sidecar: drain set to {drain} by an operator");
        self.signals.set_leaving(LeavingCause::Drain, drain);
        Ok(())
    }
}

impl LinkServer {
    /// Sends a report on every change, and otherwise after [`Self::idle_interval`], until the link
    /// closes.
    async fn send_reports(&self, sink: &SubscriptionSink) {
        let mut leaving = self.signals.leaving();
        let mut up = self.signals.up();
        let mut crashes = self.signals.crashes();
        let mut cache = self.signals.cache_events();
        let mut current = self.current.clone();
        let mut pending_crashes = SmallVec::new();
        loop {
            let report = self.build_report(std::mem::take(&mut pending_crashes), &mut cache);
            if !self.send(sink, &report).await {
                return;
            }
            sleep(MIN_REPORT_INTERVAL).await;
            tokio::select! {
                () = sleep(self.idle_interval()) => {}
                _ = leaving.changed() => {}
                _ = up.changed() => {}
                () = current.changed() => {}
                crash = crashes.recv() => push_crash(&mut pending_crashes, crash),
                () = sink.closed() => return,
            }
        }
    }

    /// Returns the time between two reports on a link while nothing changes.
    fn idle_interval(&self) -> Duration {
        let budgeted = self.links.len() as f64 * REPORT_BYTES / REPORT_BYTES_PER_SECOND;
        self.report_interval.max(Duration::from_secs_f64(budgeted))
    }

    /// Whether the service's settings are in force. No request can be admitted until then.
    fn has_settings(&self) -> bool {
        self.current.get().service(&self.service).is_some()
    }

    /// Builds a report of the current state. Cache events are sent with the next report and do not
    /// trigger one.
    fn build_report(
        &self,
        crashes: SmallVec<[CrashReport; 1]>,
        cache: &mut broadcast::Receiver<CacheEvent>,
    ) -> LinkReport {
        let (mut cached, mut evicted) = (SmallVec::new(), SmallVec::new());
        while let Some(event) = next_event(cache) {
            cached.extend(event.stored);
            evicted.extend(event.removed);
        }
        LinkReport {
            from: self.signals.incarnation,
            leaving: self.signals.is_leaving(),
            up: self.signals.is_up() && self.has_settings(),
            load: self.queue.load(),
            next_ms: u32::try_from(self.idle_interval().as_millis()).unwrap_or(u32::MAX),
            revision: self.current.get().revision,
            crashes,
            cached,
            evicted,
        }
    }

    /// Sends a report, and returns whether the link is still open.
    async fn send(&self, sink: &SubscriptionSink, report: &LinkReport) -> bool {
        self.meter.count(Event::Control);
        let Ok(text) = serde_json::value::to_raw_value(report) else {
            return false;
        };
        self.meter.add(Event::ControlBytes, (text.get().len() + REPORT_OVERHEAD_BYTES) as u64);
        sink.send(SubscriptionMessage::from(text)).await.is_ok()
    }
}

/// Returns the next event that has already arrived. Events lost to lag are skipped.
fn next_event(cache: &mut broadcast::Receiver<CacheEvent>) -> Option<CacheEvent> {
    loop {
        match cache.try_recv() {
            Ok(event) => return Some(event),
            Err(TryRecvError::Lagged(_)) => {}
            Err(TryRecvError::Empty | TryRecvError::Closed) => return None,
        }
    }
}

fn push_crash(
    pending_crashes: &mut SmallVec<[CrashReport; 1]>,
    crash: Result<CrashReport, broadcast::error::RecvError>,
) {
    if let Ok(report) = crash {
        pending_crashes.push(report);
    }
}
