use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;

use crate::id::AttemptId;

/// Fingerprints of the requests that are in flight at an upstream.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<Mutex<HashMap<AttemptId, u64>>>);

/// Keeps a request in the list of those in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    list: InFlight,
    attempt: AttemptId,
}

impl InFlight {
    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the list.
    pub fn add(&self, attempt: AttemptId, fingerprint: u64) -> InFlightGuard {
        self.lock().insert(attempt, fingerprint);
        InFlightGuard { list: self.clone(), attempt }
    }

    /// Returns the fingerprints without duplicates.
    pub fn fingerprints(&self) -> SmallVec<[u64; 8]> {
        let mut fingerprints: SmallVec<[u64; 8]> = self.lock().values().copied().collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Returns the number of requests in the list.
    pub fn len(&self) -> usize {
        self.lock().len()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.list.lock().remove(&self.attempt);
    }
}
