use displaydoc::Display;
use thiserror::Error;

/// Why a call to the table failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum TableError {
    /// a checked row has another version
    Conflict,
    /// the table is unavailable and has done nothing: {0}
    Unavailable(String),
    /// the answer was lost, the write may or may not have taken effect: {0}
    Unknown(String),
    /// the table holds a row that can't be read: {0}
    Malformed(String),
}

/// Why a call to the object store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ObjectError {
    /// the object store is unavailable: {0}
    Unavailable(String),
}

/// Why the list of instances could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ListError {
    /// the list of instances is unavailable: {0}
    Unavailable(String),
}
