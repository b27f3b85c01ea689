use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Number of recent responses that an estimate is based on.
const MAX_SAMPLES: usize = 128;
/// Number of responses needed for an estimate.
const MIN_SAMPLES: usize = 32;
/// Quantile that is estimated.
const QUANTILE: f64 = 0.95;

/// Recent times to the first byte of a service's responses.
#[derive(Debug, Default)]
pub struct Latency {
    samples: Mutex<Samples>,
}

#[derive(Debug, Default)]
struct Samples {
    /// A ring buffer.
    times: Vec<Duration>,
    /// Position that the next time overwrites once the buffer is full.
    next: usize,
}

impl Latency {
    /// Records the time of one response.
    pub fn record(&self, time: Duration) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.times.len() < MAX_SAMPLES {
            samples.times.push(time);
            return;
        }
        let index = samples.next;
        samples.times[index] = time;
        samples.next = (index + 1) % MAX_SAMPLES;
    }

    /// Returns the 95th percentile of the recent times, `None` before there are enough of them.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::entry::Latency;
    /// let latency = Latency::default();
    /// (1..=100).for_each(|ms| latency.record(Duration::from_millis(ms)));
    /// assert_eq!(latency.p95(), Some(Duration::from_millis(96)));
    /// ```
    pub fn p95(&self) -> Option<Duration> {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.times.len() < MIN_SAMPLES {
            return None;
        }
        let mut times = samples.times.clone();
        drop(samples);
        let index = (times.len() as f64 * QUANTILE) as usize;
        let (_, time, _) = times.select_nth_unstable(index);
        Some(*time)
    }
}
