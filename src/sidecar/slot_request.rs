use std::time::Duration;

use tokio::time::Instant;

use crate::settings::Priority;

/// A request for a slot, with what the queue needs to schedule it.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Client account, as `team/account`.
    pub account: &'a str,
    /// Weight of the account relative to the others.
    pub weight: f64,
    /// Estimated cost in tokens.
    pub cost: f64,
    /// Priority class of the request.
    pub priority: Priority,
    /// Maximum wait for a slot.
    pub max_wait: Duration,
    /// Time by which the whole response must be complete.
    pub deadline: Instant,
}
