use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::{Queue, Ticket};

/// A slot that a request holds while it runs. Dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    queue: Arc<Queue>,
    account: String,
    weight: f64,
    cost: f64,
    since: Instant,
    turn: Option<OwnedSemaphorePermit>,
    closed: bool,
}

impl Permit {
    pub(super) fn new(queue: Arc<Queue>, ticket: &Ticket<'_>) -> Self {
        Self {
            queue,
            account: ticket.account.to_owned(),
            weight: ticket.weight,
            cost: ticket.cost,
            since: Instant::now(),
            turn: None,
            closed: false,
        }
    }

    /// Keeps a suspect's turn for as long as the slot.
    #[must_use]
    pub(super) fn with_turn(mut self, turn: Option<OwnedSemaphorePermit>) -> Self {
        self.turn = turn;
        self
    }

    /// Frees the slot of a request that ran to its end, and tells what it really cost in tokens.
    pub fn close(mut self, cost: f64) {
        self.closed = true;
        let beyond = (cost - self.cost) / self.weight;
        let ran = Some((self.cost, self.since.elapsed()));
        self.queue.release(&self.account, beyond, ran);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.closed {
            self.queue.release(&self.account, 0.0, None);
        }
    }
}
