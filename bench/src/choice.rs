//! Time that the choice of an upstream takes.

use std::hint::black_box;
use std::time::Duration;

use ebonyusher::capacity::{Rating, SlowStart, SpeedBaseline, SpeedEstimator, expected_loads};
use ebonyusher::direct::{Candidate, OtherEntriesLoad, choose, estimate_loads};
use serde::Serialize;
use tokio::time::Instant;

const ROUNDS: u32 = 2_000;
const MAX_REPORT_AGE_MS: u64 = 900;

/// Mean times of a choice in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ChoiceReport {
    /// Number of upstreams.
    pub upstreams: usize,
    /// The estimate of the loads, which both choices need.
    pub loads_us: f64,
    /// The choice by the number of requests.
    pub plain_us: f64,
    /// The choice by learned speed and work.
    pub learned_us: f64,
}

/// Measures choices among so many upstreams.
///
/// ```
/// assert_eq!(ebonyusher_bench::choice::measure_choice(9).upstreams, 9);
/// ```
pub fn measure_choice(upstreams: usize) -> ChoiceReport {
    let now = Instant::now();
    let candidates: Vec<Candidate> = (0..upstreams).map(candidate).collect();
    let speeds: Vec<SpeedEstimator> = (0..upstreams).map(|at| speed(at, now)).collect();
    let loads = estimate_loads(&candidates);
    let slow_start = SlowStart::new(now);
    let baseline = SpeedBaseline::default();
    let tie_break = |_| rand::random_range(0.0..0.3);
    let plain = || choose(&candidates, &loads, |at| at.is_multiple_of(3), tie_break);
    let learned = || {
        let now = Instant::now();
        let peaks = speeds.iter().filter_map(|speed| speed.recent_peak(now));
        let baseline = baseline.get(peaks, now);
        let rate = |(speed, candidate): (&SpeedEstimator, &Candidate)| Rating {
            work: f64::from(candidate.own),
            slowness: speed.slowness(baseline, candidate.own > 0, now),
            start_share: slow_start.share(now),
        };
        let ratings: Vec<Rating> = speeds.iter().zip(&candidates).map(rate).collect();
        let expected = expected_loads(&candidates, &loads, &ratings, 1.0);
        choose(&candidates, &expected, |at| at.is_multiple_of(3), tie_break)
    };
    ChoiceReport {
        upstreams,
        loads_us: mean_us(|| estimate_loads(&candidates)),
        plain_us: mean_us(plain),
        learned_us: mean_us(learned),
    }
}

fn candidate(at: usize) -> Candidate {
    let age = Duration::from_millis(at as u64 * 7 % MAX_REPORT_AGE_MS);
    let others = OtherEntriesLoad { requests: (at % 11) as f64, age };
    Candidate { own: (at % 3) as u32, others: Some(others), avoid_until: None }
}

fn speed(at: usize, now: Instant) -> SpeedEstimator {
    let mut speed = SpeedEstimator::default();
    speed.record(if at.is_multiple_of(4) { 0.08 } else { 0.02 }, now);
    speed
}

fn mean_us<T>(call: impl Fn() -> T) -> f64 {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        black_box(call());
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
