use std::time::Duration;

use super::SentRequest;

/// Time to the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// The request.
    pub sent: SentRequest,
    /// Time since it was sent.
    pub time: Duration,
}

impl FirstEvent {
    /// Returns the time relative to the expected one.
    pub fn relative_time(&self) -> f64 {
        self.time.as_secs_f64() / self.sent.expected
    }
}
