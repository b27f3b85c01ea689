use std::time::Duration;

use ebonyusher::outcome::{Outcome, Reason};

/// An answer as a caller sees it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status of the answer.
    pub status: u16,
    /// What became of the request, as the answer says.
    pub outcome: Option<Outcome>,
    /// Why it was refused.
    pub reason: Option<Reason>,
    /// Whether the answer was stored for an earlier request with the same key.
    pub replayed: bool,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body ended without an error.
    pub ended_cleanly: bool,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Longest time between two pieces of the body.
    pub max_gap: Duration,
}
