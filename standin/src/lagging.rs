use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which past values are kept: the max lag that can be read.
const RETENTION: Duration = Duration::from_secs(60);

/// A value that can be read as it was some time ago.
#[derive(Debug)]
pub struct Lagging<T> {
    past: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagging<T> {
    /// Creates a history that begins with a value.
    pub fn new(value: T) -> Self {
        Self { past: VecDeque::from([(Instant::now(), value)]) }
    }

    /// Sets the current value.
    pub fn set(&mut self, value: T) {
        let now = Instant::now();
        self.past.push_back((now, value));
        while self.past.len() > 1 && self.past[1].0 + RETENTION < now {
            self.past.pop_front();
        }
    }

    /// Returns the value as it was `lag` ago, or the oldest one that is kept.
    pub fn get(&self, lag: Duration) -> &T {
        let now = Instant::now();
        let visible = self.past.iter().rev().find(|(at, _)| *at + lag <= now);
        &visible.unwrap_or(&self.past[0]).1
    }
}
