use std::time::Duration;

use tokio::time::Instant;

/// First backoff after the upstream could not be reached, refused a request, or gave no valid
/// response several times in a row; doubled with each further backoff.
const INITIAL: Duration = Duration::from_millis(150);
/// Upper bound of the backoff.
const MAX: Duration = Duration::from_secs(2);
/// Number of consecutive requests without a valid response that start a backoff.
const LOSSES: u32 = 3;

/// Time for which an upstream that fails gets no requests if others are left.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    losses: u32,
    time: Duration,
    until: Option<Instant>,
}

impl Backoff {
    /// Begins a backoff, longer than the last one.
    pub(super) fn begin(&mut self) {
        self.time = (self.time * 2).clamp(INITIAL, MAX);
        self.until = Some(Instant::now() + self.time);
        self.losses = 0;
    }

    /// Records that a request got no valid response.
    pub(super) fn record_loss(&mut self) {
        self.losses += 1;
        if self.losses >= LOSSES {
            self.begin();
        }
    }

    /// Records a valid response, which ends the backoff.
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns until when the last backoff lasts or lasted.
    pub(super) const fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns whether nothing has failed since the last valid response.
    pub(super) const fn is_clear(&self) -> bool {
        self.losses == 0 && self.time.is_zero()
    }
}
