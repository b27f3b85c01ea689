use std::path::PathBuf;

use super::TraceKind;

/// Source of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceSource {
    /// Read from a file.
    File(PathBuf),
    /// Generated.
    Generated(TraceKind),
}

/// Options of an experiment on expert maps.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertOptions {
    /// Source of the trace.
    pub source: TraceSource,
    /// File to write a generated trace to instead of running it.
    pub write: Option<PathBuf>,
    /// Weight of skew in the objective.
    pub skew_weight: f64,
    /// Weight of moved experts in the objective.
    pub move_weight: f64,
    /// Megabytes per second that the weight store delivers.
    pub store_mbps: f64,
    /// Seed of a generated trace.
    pub seed: u64,
    /// Ranks of a generated trace.
    pub ranks: usize,
    /// Slots per rank and layer of a generated trace.
    pub slots: usize,
    /// Layers of a generated trace.
    pub layers: usize,
    /// Steps of a generated trace.
    pub steps: usize,
    /// Steps between plans of the product's planner.
    pub interval: usize,
    /// Smallest reduction of skew for which the product's planner fetches an expert at the typical
    /// excess.
    pub min_gain: Option<f64>,
    /// Typical excess of skew over 1. A fetch has to gain more below it and less above it.
    pub typical_excess: Option<f64>,
    /// File for a plot of the skew of each step.
    pub plot: Option<PathBuf>,
    /// File for a plot of settled skew against moved bytes for several values of `min_gain`.
    pub curve: Option<PathBuf>,
}
