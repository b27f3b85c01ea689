use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Requests that were in flight when an upstream crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Number of the crash, the same from all that tell of it.
    pub event: u64,
    /// Fingerprints of the requests.
    pub prints: SmallVec<[u64; 8]>,
}
