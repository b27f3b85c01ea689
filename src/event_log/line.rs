use serde::Serialize;

use super::Level;

/// A line of the log: what every line has, then the fields of the event.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Line<'a, T> {
    /// Unix time in milliseconds.
    pub(super) at: u64,
    /// The process that writes.
    pub(super) node: &'a str,
    pub(super) level: Level,
    #[serde(flatten)]
    pub(super) event: &'a T,
}

/// Lines that did not fit were not written.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(tag = "event", rename = "log-dropped")]
pub(super) struct Dropped {
    pub(super) lines: u64,
}
