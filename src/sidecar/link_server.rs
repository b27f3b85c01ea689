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

/// Shortest pause between two notes on one link.
const MIN_NOTE_INTERVAL: Duration = Duration::from_millis(5);

/// Bytes that a sidecar spends on notes to all its links, per second, when nothing changes. With
/// many links each gets its notes more rarely; loads also come with every answer.
const NOTE_BYTES_PER_SECOND: f64 = 1_200.0;
/// Usual size of a note with its frames.
const NOTE_BYTES: f64 = 320.0;
/// What a note costs beside its text: JSON-RPC, WebSocket, TCP and IP.
const NOTE_OVERHEAD_BYTES: usize = 160;

/// Answers entries that open links.
#[derive(Clone, Debug)]
pub struct LinkServer {
    pub(super) service: String,
    pub(super) settings_server: SettingsServer,
    pub(super) signals: Signals,
    pub(super) queue: Arc<Queue>,
    pub(super) current: CurrentSettings,
    pub(super) hints: mpsc::Sender<Hint>,
    pub(super) report_interval: Duration,
    pub(super) meter: Arc<Meter>,
    pub(super) links: Links,
}

/// Entries that have a link open.
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

    /// Number of linked entries.
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
        self.send_notes(&sink).await;
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
    /// Sends a note on every change and at the report interval, until the link closes.
    async fn send_notes(&self, sink: &SubscriptionSink) {
        let mut leaving = self.signals.leaving();
        let mut up = self.signals.up();
        let mut crashes = self.signals.crashes();
        let mut cache = self.signals.cache_events();
        let mut current = self.current.clone();
        let mut pending_crashes = SmallVec::new();
        loop {
            let note = self.note(std::mem::take(&mut pending_crashes), &mut cache);
            if !self.send(sink, &note).await {
                return;
            }
            sleep(MIN_NOTE_INTERVAL).await;
            tokio::select! {
                () = sleep(self.note_interval()) => {}
                _ = leaving.changed() => {}
                _ = up.changed() => {}
                () = current.changed() => {}
                crash = crashes.recv() => push_crash(&mut pending_crashes, crash),
                () = sink.closed() => return,
            }
        }
    }

    /// Time between two notes on a link when nothing changes.
    fn note_interval(&self) -> Duration {
        let budgeted = self.links.len() as f64 * NOTE_BYTES / NOTE_BYTES_PER_SECOND;
        self.report_interval.max(Duration::from_secs_f64(budgeted))
    }

    /// Nothing can be admitted before the service's settings are in force.
    fn has_settings(&self) -> bool {
        self.current.get().service(&self.service).is_some()
    }

    /// A note of how things are. Changes of the cache ride along and cause no note of their own.
    fn note(
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
            next_ms: u32::try_from(self.note_interval().as_millis()).unwrap_or(u32::MAX),
            revision: self.current.get().revision,
            crashes,
            cached,
            evicted,
        }
    }

    async fn send(&self, sink: &SubscriptionSink, note: &LinkReport) -> bool {
        self.meter.count(Event::Control);
        let Ok(text) = serde_json::value::to_raw_value(note) else {
            return false;
        };
        self.meter.add(Event::ControlBytes, (text.get().len() + NOTE_OVERHEAD_BYTES) as u64);
        sink.send(SubscriptionMessage::from(text)).await.is_ok()
    }
}

/// The next event that is there already; those that were missed are passed over.
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
    if let Ok(note) = crash {
        pending_crashes.push(note);
    }
}
