use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Answers that an estimate rests on.
const MAX_SAMPLES: usize = 128;
/// Answers before the first estimate.
const MIN_SAMPLES: usize = 32;
/// Share of answers that are faster than the estimate.
const QUANTILE: f64 = 0.95;

/// Recent times to the first byte of a service's answers.
#[derive(Debug, Default)]
pub struct Latency {
    samples: Mutex<Samples>,
}

#[derive(Debug, Default)]
struct Samples {
    times: Vec<Duration>,
    next: usize,
}

impl Latency {
    /// Notes the time of one answer.
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

    /// Time that 95 in 100 answers take at most, nothing before enough are known.
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
