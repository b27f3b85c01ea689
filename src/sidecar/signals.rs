use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use tokio::sync::{broadcast, watch};

use super::cache_event::CacheEvent;
use crate::id::Incarnation;
use crate::net::Draining;
use crate::peer::CrashReport;

/// Number of crashes that a slow link may lag behind; it misses older ones.
const CRASH_BACKLOG: usize = 64;

/// Number of cache events that a slow link may lag behind; it misses older ones.
const CACHE_BACKLOG: usize = 32;

/// Causes for which a sidecar refuses new requests. Several may be set at a time, and each is
/// cleared on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum LeavingCause {
    /// The process shuts down. Never cleared.
    Shutdown = 1,
    /// An operator has drained it.
    Drain = 2,
    /// The engine is loading a model.
    Load = 4,
}

/// Whether the sidecar is leaving and its upstream is up, and the upstream's crashes and cache
/// events. The components of a sidecar set them, and its links report them to the entries.
#[derive(Clone, Debug)]
pub struct Signals {
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// Whether the process shuts down, and until when.
    pub draining: Draining,
    leaving: Arc<watch::Sender<bool>>,
    up: Arc<watch::Sender<bool>>,
    crashes: broadcast::Sender<CrashReport>,
    cache_events: broadcast::Sender<CacheEvent>,
    /// Bit set of the [`LeavingCause`]s that are set.
    leaving_causes: Arc<AtomicU8>,
}

impl Signals {
    /// Makes the signals of a new incarnation: not leaving, and the upstream down until it is
    /// probed.
    pub fn new() -> Self {
        Self {
            incarnation: Incarnation::random(),
            draining: Draining::default(),
            leaving: Arc::new(watch::Sender::new(false)),
            up: Arc::new(watch::Sender::new(false)),
            crashes: broadcast::Sender::new(CRASH_BACKLOG),
            cache_events: broadcast::Sender::new(CACHE_BACKLOG),
            leaving_causes: Arc::default(),
        }
    }

    /// Whether the sidecar refuses new requests.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Sets or clears one of the causes for refusing new requests.
    pub fn set_leaving(&self, cause: LeavingCause, on: bool) {
        let bit = cause as u8;
        let before = if on {
            self.leaving_causes.fetch_or(bit, Ordering::SeqCst)
        } else {
            self.leaving_causes.fetch_and(!bit, Ordering::SeqCst)
        };
        let leaving = if on { before | bit } else { before & !bit } != 0;
        self.leaving.send_if_modified(|current| std::mem::replace(current, leaving) != leaving);
    }

    /// Whether the upstream accepts connections.
    pub fn is_up(&self) -> bool {
        *self.up.borrow()
    }

    /// Records whether the upstream accepts connections.
    pub fn set_up(&self, up: bool) {
        self.up.send_if_modified(|current| std::mem::replace(current, up) != up);
    }

    /// Publishes a crash.
    pub fn report_crash(&self, report: CrashReport) {
        self.crashes.send(report).ok();
    }

    /// Subscribes to crashes from now on.
    pub fn crashes(&self) -> broadcast::Receiver<CrashReport> {
        self.crashes.subscribe()
    }

    /// Publishes a change of the engine's cache.
    pub fn report_cache_event(&self, event: CacheEvent) {
        self.cache_events.send(event).ok();
    }

    /// Subscribes to changes of the engine's cache from now on.
    pub fn cache_events(&self) -> broadcast::Receiver<CacheEvent> {
        self.cache_events.subscribe()
    }

    /// Returns a receiver that follows whether the sidecar is leaving.
    pub fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Returns a receiver that follows whether the upstream accepts connections.
    pub fn up(&self) -> watch::Receiver<bool> {
        self.up.subscribe()
    }
}

impl Default for Signals {
    fn default() -> Self {
        Self::new()
    }
}
