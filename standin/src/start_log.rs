use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};

use ebonyusher::entry::fingerprint;
use tokio::time::Instant;

/// Records which requests have started at an upstream. A request of an engine counts as started
/// before it gets a slot.
#[derive(Debug, Default)]
pub struct StartLog(Mutex<Starts>);

#[derive(Debug, Default)]
struct Starts {
    bodies: HashSet<u64>,
    count: u64,
    last: Option<Instant>,
}

impl StartLog {
    /// Records the start of a request with this body.
    pub fn record(&self, body: &[u8]) {
        let mut starts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        starts.count += 1;
        starts.last = Some(Instant::now());
        starts.bodies.insert(fingerprint("", "", body));
    }

    /// Returns whether a request with this body has started.
    pub fn has(&self, body: &[u8]) -> bool {
        let starts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        starts.bodies.contains(&fingerprint("", "", body))
    }

    /// Returns the number of starts.
    pub fn count(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).count
    }

    /// Returns the time at which the last request started.
    pub fn last(&self) -> Option<Instant> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).last
    }
}
