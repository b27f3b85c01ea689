use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// Interval at which the baseline is computed.
const INTERVAL: Duration = Duration::from_millis(100);
/// Share of the upstreams that are at least as fast as the baseline. Below one half, it remains that
/// of the usual speed while the upstreams of two of three failure domains are slow.
const QUANTILE: f64 = 0.25;

/// Response time of the faster upstreams of a group, by which the speed of each is judged.
#[derive(Debug, Default)]
pub struct SpeedBaseline {
    state: Mutex<Option<(f64, Instant)>>,
}

impl SpeedBaseline {
    /// Returns the baseline, computed from the response times of the upstreams if it is due. It is
    /// infinite, so that no upstream is slow, while fewer than two upstreams are known.
    ///
    /// ```
    /// # use ebonyusher::capacity::SpeedBaseline;
    /// # use tokio::time::Instant;
    /// let now = Instant::now();
    /// assert_eq!(SpeedBaseline::default().get([0.02, 0.08, 0.03, 0.02].into_iter(), now), 0.02);
    /// assert_eq!(SpeedBaseline::default().get([0.02].into_iter(), now), f64::INFINITY);
    /// ```
    pub fn get(&self, times: impl Iterator<Item = f64>, now: Instant) -> f64 {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((baseline, at)) = *state
            && now.saturating_duration_since(at) < INTERVAL
        {
            return baseline;
        }
        let mut times: SmallVec<[f64; 16]> = times.collect();
        let baseline = quantile(&mut times);
        *state = Some((baseline, now));
        baseline
    }
}

fn quantile(times: &mut [f64]) -> f64 {
    if times.len() < 2 {
        return f64::INFINITY;
    }
    let at = ((times.len() - 1) as f64 * QUANTILE) as usize;
    *times.select_nth_unstable_by(at, f64::total_cmp).1
}
