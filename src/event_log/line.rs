use serde::Serialize;

use super::Level;

/// A line of the log: the fields that every line has, then those of the event.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Line<'a, T> {
    /// Unix time in milliseconds.
    pub(super) at: u64,
    /// Name of the process that writes the log.
    pub(super) node: &'a str,
    pub(super) level: Level,
    #[serde(flatten)]
    pub(super) event: &'a T,
}

/// Reports that lines were dropped because the buffer was full, the rate limit was exceeded or the
/// event could not be serialized.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(tag = "event", rename = "log-dropped")]
pub(super) struct Dropped {
    pub(super) lines: u64,
}
