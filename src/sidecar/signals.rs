use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::{broadcast, watch};

use super::cache_watch::CacheEvent;
use crate::id::Incarnation;
use crate::peer::CrashNote;

/// Crashes that a slow link may lag behind.
const CRASH_BACKLOG: usize = 64;

/// Cache events that a slow link may lag behind; it misses older ones.
const CACHE_BACKLOG: usize = 32;

/// What the parts of a sidecar tell each other, and its links.
#[derive(Clone, Debug)]
pub struct Signals {
    /// The sidecar's present life.
    pub incarnation: Incarnation,
    leaving: Arc<watch::Sender<bool>>,
    up: Arc<watch::Sender<bool>>,
    crashes: broadcast::Sender<CrashNote>,
    cache: broadcast::Sender<CacheEvent>,
    stopping: Arc<AtomicBool>,
}

impl Signals {
    /// A fresh life: not leaving, upstream not yet seen.
    pub fn new() -> Self {
        Self {
            incarnation: Incarnation::random(),
            leaving: Arc::new(watch::Sender::new(false)),
            up: Arc::new(watch::Sender::new(false)),
            crashes: broadcast::Sender::new(CRASH_BACKLOG),
            cache: broadcast::Sender::new(CACHE_BACKLOG),
            stopping: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Whether the sidecar takes nothing new.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Says whether the sidecar takes anything new. A sidecar that shuts down stays leaving.
    pub fn set_leaving(&self, leaving: bool) {
        let leaving = leaving || self.stopping.load(Ordering::SeqCst);
        self.leaving.send_if_modified(|present| std::mem::replace(present, leaving) != leaving);
    }

    /// Says that the process shuts down.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.set_leaving(true);
    }

    /// Whether the upstream accepts connections.
    pub fn is_up(&self) -> bool {
        *self.up.borrow()
    }

    /// Says whether the upstream accepts connections.
    pub fn set_up(&self, up: bool) {
        self.up.send_if_modified(|present| std::mem::replace(present, up) != up);
    }

    /// Tells of a crash.
    pub fn crashed(&self, note: CrashNote) {
        self.crashes.send(note).ok();
    }

    /// Follows the crashes from now on.
    pub fn crashes(&self) -> broadcast::Receiver<CrashNote> {
        self.crashes.subscribe()
    }

    /// Tells of a change of the engine's cache.
    pub fn cache(&self, event: CacheEvent) {
        self.cache.send(event).ok();
    }

    /// Follows the changes of the engine's cache from now on.
    pub fn cache_events(&self) -> broadcast::Receiver<CacheEvent> {
        self.cache.subscribe()
    }

    /// Follows whether the sidecar is leaving.
    pub fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Follows whether the upstream is up.
    pub fn up(&self) -> watch::Receiver<bool> {
        self.up.subscribe()
    }
}

impl Default for Signals {
    fn default() -> Self {
        Self::new()
    }
}
