use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::settings::CurrentSettings;

/// Whether the platform's load balancer should send callers to this process.
#[derive(Clone, Debug)]
pub struct Readiness {
    current: CurrentSettings,
    leaving: Arc<AtomicBool>,
}

impl Readiness {
    /// Creates a state that is ready as soon as settings are in force.
    ///
    /// ```
    /// # use ebonyusher::{admin::Readiness, settings::SettingsPublisher};
    /// assert!(!Readiness::new(SettingsPublisher::new().current()).is_ready());
    /// ```
    pub fn new(current: CurrentSettings) -> Self {
        Self { current, leaving: Arc::default() }
    }

    /// Marks the process as about to stop; it is no longer ready.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether the process is ready.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst) && self.current.get().revision > 0
    }
}
