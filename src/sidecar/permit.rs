use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::{Queue, SlotRequest};

/// A slot that a request holds while it runs. Dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    queue: Arc<Queue>,
    account: String,
    weight: f64,
    /// Estimated cost in tokens.
    cost: f64,
    started: Instant,
    /// Permit that lets only one suspect request run at a time; `None` if this one is not suspect.
    suspect_permit: Option<OwnedSemaphorePermit>,
    completed: bool,
}

impl Permit {
    pub(super) fn new(queue: Arc<Queue>, request: &SlotRequest<'_>) -> Self {
        Self {
            queue,
            account: request.account.to_owned(),
            weight: request.weight,
            cost: request.cost,
            started: Instant::now(),
            suspect_permit: None,
            completed: false,
        }
    }

    /// Holds the permit of a suspect request for as long as the slot.
    #[must_use]
    pub(super) fn with_suspect_permit(
        mut self,
        suspect_permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        self.suspect_permit = suspect_permit;
        self
    }

    /// Frees the slot of a request that ran to its end, and records its actual cost in tokens.
    pub fn complete(mut self, cost: f64) {
        self.completed = true;
        let extra_cost = (cost - self.cost) / self.weight;
        let ran = Some((self.cost, self.started.elapsed()));
        self.queue.release(&self.account, extra_cost, ran);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.completed {
            self.queue.release(&self.account, 0.0, None);
        }
    }
}
