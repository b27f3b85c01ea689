use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Reports the requests that were in flight when an upstream crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the crash, the same in every report of it.
    pub event: u64,
    /// Fingerprints of the requests.
    pub prints: SmallVec<[u64; 8]>,
}
