use std::str::FromStr;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::{Trace, TraceHeader, TraceStep};

/// Tokens that each rank sends to experts in a step.
const TOKENS_PER_RANK: f64 = 1_024.0;
/// Standard deviation of the change of log popularity per step.
const DRIFT_DEVIATION: f64 = 0.01;
/// Rate per step at which log popularity reverts to its initial value.
const DRIFT_REVERSION: f64 = 0.002;
/// Range of the Zipf exponent of popularity in [`TraceKind::Uneven`].
const MIN_EXPONENT: f64 = 0.6;
const MAX_EXPONENT: f64 = 1.4;
/// Zipf exponent of the initial popularity in the other kinds of trace.
const DEFAULT_EXPONENT: f64 = 1.0;
/// Speed of the slow rank in [`TraceKind::Straggler`]; the others have speed 1.
const STRAGGLER_SPEED: f64 = 0.5;

/// Kind of a generated trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceKind {
    /// Popularity drifts slowly.
    Drift,
    /// The popular experts change abruptly in the middle of the trace.
    Festival,
    /// Popularity is fixed; the seed determines how uneven it is.
    Uneven,
    /// Popularity drifts, and one rank runs at half speed after a third of the steps.
    Straggler,
}

impl FromStr for TraceKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "drift" => Ok(Self::Drift),
            "festival" => Ok(Self::Festival),
            "uneven" => Ok(Self::Uneven),
            "straggler" => Ok(Self::Straggler),
            _ => Err(format!("expected drift, festival, uneven or straggler, got {text:?}")),
        }
    }
}

/// Log popularity of the experts of one layer.
struct LayerPopularity {
    initial: Vec<f64>,
    current: Vec<f64>,
}

/// Generates a trace. The same arguments give the same trace.
pub fn generate_trace(kind: TraceKind, header: TraceHeader, steps: usize, seed: u64) -> Trace {
    let mut rng = SmallRng::seed_from_u64(seed);
    let exponent = match kind {
        TraceKind::Uneven => rng.random_range(MIN_EXPONENT..MAX_EXPONENT),
        _ => DEFAULT_EXPONENT,
    };
    let mut layers: Vec<LayerPopularity> = (0..header.layers)
        .map(|_| LayerPopularity::new(header.experts, exponent, &mut rng))
        .collect();
    let straggler = rng.random_range(0..header.ranks);
    let total = header.ranks as f64 * TOKENS_PER_RANK;
    let mut generated = Vec::with_capacity(steps);
    for index in 0..steps {
        let mut step = TraceStep::default();
        if kind == TraceKind::Straggler && index == steps / 3 {
            let speeds =
                (0..header.ranks).map(|rank| if rank == straggler { STRAGGLER_SPEED } else { 1.0 });
            step.speeds = Some(speeds.collect());
        }
        for layer in &mut layers {
            if kind == TraceKind::Festival && index == steps / 2 {
                layer.shuffle(&mut rng);
            }
            if kind != TraceKind::Uneven {
                layer.drift(&mut rng);
            }
            step.tokens.push(layer.sample_tokens(total, &mut rng));
        }
        generated.push(step);
    }
    Trace { header, steps: generated }
}

impl LayerPopularity {
    fn new(experts: usize, exponent: f64, rng: &mut SmallRng) -> Self {
        let mut logs: Vec<f64> = (1..=experts).map(|rank| -exponent * (rank as f64).ln()).collect();
        logs.shuffle(rng);
        Self { initial: logs.clone(), current: logs }
    }

    fn shuffle(&mut self, rng: &mut SmallRng) {
        self.initial.shuffle(rng);
        self.current.clone_from(&self.initial);
    }

    fn drift(&mut self, rng: &mut SmallRng) {
        for (current, initial) in self.current.iter_mut().zip(&self.initial) {
            *current +=
                DRIFT_DEVIATION * sample_normal(rng) + DRIFT_REVERSION * (initial - *current);
        }
    }

    fn sample_tokens(&self, total: f64, rng: &mut SmallRng) -> Vec<f64> {
        let weights: Vec<f64> = self.current.iter().map(|log| log.exp()).collect();
        let sum: f64 = weights.iter().sum();
        weights.iter().map(|weight| sample_count(total * weight / sum, rng)).collect()
    }
}

/// Returns a random count with the given mean and a variance equal to it.
fn sample_count(mean: f64, rng: &mut SmallRng) -> f64 {
    (mean + mean.sqrt() * sample_normal(rng)).round().max(0.0)
}

/// Samples the standard normal distribution by the Box-Muller transform.
fn sample_normal(rng: &mut SmallRng) -> f64 {
    let (radius, angle): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}
