use serde::{Deserialize, Serialize};

use crate::id::Incarnation;

/// Stored row of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// Incarnation of the holder.
    pub holder: Incarnation,
    /// Fencing token, carried by orders. Increases with each new holder and each
    /// [`Lease::advance`](super::Lease::advance).
    pub fence: u64,
    /// Increases with each renewal.
    pub beat: u64,
}

/// Key of a lease's row.
///
/// ```
/// assert_eq!(ebonyusher::lease::lease_key("group/petrov/bench"), "lease/group/petrov/bench");
/// ```
pub fn lease_key(name: &str) -> String {
    format!("lease/{name}")
}
