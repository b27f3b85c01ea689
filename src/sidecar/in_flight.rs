use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;

use crate::entry::CrashKeys;
use crate::id::AttemptId;

/// The requests that are in flight at an upstream.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<Mutex<HashMap<AttemptId, CrashKeys>>>);

/// Keeps a request in the list of those in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    list: InFlight,
    attempt: AttemptId,
}

impl InFlight {
    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, CrashKeys>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the list.
    pub fn add(&self, attempt: AttemptId, keys: CrashKeys) -> InFlightGuard {
        self.lock().insert(attempt, keys);
        InFlightGuard { list: self.clone(), attempt }
    }

    /// Returns the requests.
    pub fn requests(&self) -> SmallVec<[CrashKeys; 2]> {
        self.lock().values().cloned().collect()
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
