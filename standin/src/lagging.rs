use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Longest lag that can be shown.
const MEMORY: Duration = Duration::from_secs(60);

/// A value whose past can be read.
#[derive(Debug)]
pub struct Lagging<T> {
    past: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagging<T> {
    /// Starts with a value.
    pub fn new(value: T) -> Self {
        Self { past: VecDeque::from([(Instant::now(), value)]) }
    }

    /// Changes the value from now on.
    pub fn set(&mut self, value: T) {
        let now = Instant::now();
        self.past.push_back((now, value));
        while self.past.len() > 1 && self.past[1].0 + MEMORY < now {
            self.past.pop_front();
        }
    }

    /// The value as it was so long ago.
    pub fn get(&self, lag: Duration) -> &T {
        let now = Instant::now();
        let seen = self.past.iter().rev().find(|(at, _)| *at + lag <= now);
        &seen.unwrap_or(&self.past[0]).1
    }
}
