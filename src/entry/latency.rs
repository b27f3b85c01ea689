use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Answers that an estimate rests on.
const WINDOW: usize = 128;
/// Answers before the first estimate.
const LEAST: usize = 32;
/// Share of answers that are faster than the estimate.
const QUANTILE: f64 = 0.95;

/// Recent times to the first byte of a service's answers.
#[derive(Debug, Default)]
pub struct Latency {
    recent: Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    times: Vec<Duration>,
    next: usize,
}

impl Latency {
    /// Notes the time of one answer.
    pub fn note(&self, time: Duration) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.times.len() < WINDOW {
            recent.times.push(time);
            return;
        }
        let at = recent.next;
        recent.times[at] = time;
        recent.next = (at + 1) % WINDOW;
    }

    /// Time that 95 in 100 answers take at most, nothing before enough are known.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::entry::Latency;
    /// let latency = Latency::default();
    /// (1..=100).for_each(|ms| latency.note(Duration::from_millis(ms)));
    /// assert_eq!(latency.p95(), Some(Duration::from_millis(96)));
    /// ```
    pub fn p95(&self) -> Option<Duration> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.times.len() < LEAST {
            return None;
        }
        let mut times = recent.times.clone();
        drop(recent);
        let at = (times.len() as f64 * QUANTILE) as usize;
        let (_, time, _) = times.select_nth_unstable(at);
        Some(*time)
    }
}
