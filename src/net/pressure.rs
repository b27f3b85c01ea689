use serde::Serialize;

/// How much callers take of a process, and how often it was too much. Counts are since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Pressure {
    /// Bytes that are held for callers.
    pub held_bytes: usize,
    /// Number of requests for which there was no memory.
    pub no_memory: u64,
    /// Number of callers that lost what was held for them, since they made no progress.
    pub gave_way: u64,
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections that were closed at once.
    pub connections_refused: u64,
    /// Number of connections that were closed for others, since they waited for their callers.
    pub connections_closed: u64,
    /// Number of connections that were closed since a head did not end or an answer was not taken in
    /// time.
    pub connections_late: u64,
    /// Number of heads, and of calls from other processes, that were too large.
    pub too_large: u64,
}
