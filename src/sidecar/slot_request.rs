use std::time::Duration;

use tokio::time::Instant;

use crate::settings::Priority;

/// What the queue has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Client account, as `team/account`.
    pub account: &'a str,
    /// Weight of the account against the others.
    pub weight: f64,
    /// Estimated cost in tokens.
    pub cost: f64,
    /// Class of the request.
    pub priority: Priority,
    /// Longest wait for a slot.
    pub max_wait: Duration,
    /// When the whole answer must be there.
    pub deadline: Instant,
}
