use serde::{Deserialize, Serialize};

use crate::id::Incarnation;

/// Who holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder's present life.
    pub holder: Incarnation,
    /// Greater with each new holder. Orders carry it.
    pub fence: u64,
    /// Greater with each renewal.
    pub beat: u64,
}

/// Name of the row of a lease.
///
/// ```
/// assert_eq!(ebonyusher::lease::lease_key("group/petrov/bench"), "lease/group/petrov/bench");
/// ```
pub fn lease_key(name: &str) -> String {
    format!("lease/{name}")
}
