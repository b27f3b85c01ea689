use std::path::PathBuf;

use super::TraceKind;

/// Where a trace comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceSource {
    /// A file.
    File(PathBuf),
    /// Made on the spot.
    Generated(TraceKind),
}

/// What an experiment on expert maps consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertOptions {
    /// Where the trace comes from.
    pub source: TraceSource,
    /// Where to write a made trace instead of running it.
    pub write: Option<PathBuf>,
    /// Weight of even step times.
    pub skew_weight: f64,
    /// Weight of few moves.
    pub move_weight: f64,
    /// Megabytes that the weight store gives a second.
    pub store_mbps: f64,
    /// Seed of a made trace.
    pub seed: u64,
    /// Ranks of a made trace.
    pub ranks: usize,
    /// Slots of a made trace.
    pub slots: usize,
    /// Layers of a made trace.
    pub layers: usize,
    /// Steps of a made trace.
    pub steps: usize,
    /// Steps between plans of the product's planner.
    pub interval: usize,
    /// Least fall of skew for which the product's planner fetches an expert.
    pub min_gain: Option<f64>,
    /// Excess of skew at which that gain is asked for.
    pub typical_excess: Option<f64>,
    /// Where to plot the skew of each step.
    pub plot: Option<PathBuf>,
    /// Where to plot settled skew against moves for several prices of a move.
    pub curve: Option<PathBuf>,
}
