use serde::{Deserialize, Serialize};

/// The row by which an entry tells the others that it exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryRow {
    /// Unix time of the last renewal, in seconds.
    pub renewed: u64,
}
