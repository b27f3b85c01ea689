use std::time::Duration;

use ebonyusher::outcome::{Outcome, Reason};

/// Response as the caller sees it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Outcome that the response reports.
    pub outcome: Option<Outcome>,
    /// Reason of a refusal.
    pub reason: Option<Reason>,
    /// Whether the response is the stored answer to an earlier request with the same key.
    pub replayed: bool,
    /// Body, as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body ended without an error.
    pub ended_cleanly: bool,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the end of the body.
    pub total: Duration,
    /// Longest time between two frames of the body.
    pub max_gap: Duration,
}
