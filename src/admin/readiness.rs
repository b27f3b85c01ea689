use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::settings::Current;

/// Whether the platform's balancer should send callers here.
#[derive(Clone, Debug)]
pub struct Readiness {
    current: Current,
    leaving: Arc<AtomicBool>,
}

impl Readiness {
    /// Ready as soon as settings are in force.
    ///
    /// ```
    /// # use ebonyusher::{admin::Readiness, settings::Publisher};
    /// assert!(!Readiness::new(Publisher::new().current()).is_ready());
    /// ```
    pub fn new(current: Current) -> Self {
        Self { current, leaving: Arc::default() }
    }

    /// Says that the process is about to stop.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the process is ready.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst) && self.current.get().revision > 0
    }
}
