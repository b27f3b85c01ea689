use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;

use crate::id::AttemptId;

/// Fingerprints of the requests that an upstream is running.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<Mutex<HashMap<AttemptId, u64>>>);

/// Keeps a request on the list until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    list: InFlight,
    attempt: AttemptId,
}

impl InFlight {
    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a request on the list.
    pub fn add(&self, attempt: AttemptId, fingerprint: u64) -> InFlightGuard {
        self.lock().insert(attempt, fingerprint);
        InFlightGuard { list: self.clone(), attempt }
    }

    /// The fingerprints, each once.
    pub fn fingerprints(&self) -> SmallVec<[u64; 8]> {
        let mut fingerprints: SmallVec<[u64; 8]> = self.lock().values().copied().collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Number of requests on the list.
    pub fn len(&self) -> usize {
        self.lock().len()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.list.lock().remove(&self.attempt);
    }
}
