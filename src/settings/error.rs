use displaydoc::Display;
use thiserror::Error;

use super::Change;
use crate::platform::TableError;

/// A settings document that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ParseError {
    /// can't read {path}: {reason}
    File { path: String, reason: String },
    /// {place}: {reason}
    Json { place: String, reason: String },
}

/// A settings tree that was parsed but is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
#[displaydoc("{place}: {reason}")]
pub struct CheckError {
    /// JSON path of the fault.
    pub place: String,
    /// What was expected.
    pub reason: String,
}

/// Why a change of settings was not accepted, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq)]
#[derive(Display, Error)]
pub enum StoreError {
    /// {0}
    Check(#[from] CheckError),
    /// the subtree is at version {version}, the change was made from another one
    Stale { version: u64, changes: Vec<Change> },
    /// the platform's table is unavailable, nothing has changed
    Unavailable,
    /// the platform's table gave no answer, the change {change} may have been accepted
    Unknown { change: String },
    /// the platform's table holds a row that can't be read: {0}
    Malformed(String),
}

impl From<TableError> for StoreError {
    fn from(err: TableError) -> Self {
        match err {
            TableError::Malformed(text) => Self::Malformed(text),
            TableError::Conflict | TableError::Unavailable(_) | TableError::Unknown(_) => {
                Self::Unavailable
            }
        }
    }
}
