use serde::{Deserialize, Serialize};

/// Tokens that a rank processed for the experts that it holds in one layer, and the time it took.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LayerCount {
    /// Experts that the rank holds.
    pub experts: Vec<u16>,
    /// Tokens of each expert, in the same order.
    pub tokens: Vec<f64>,
    /// Time that the rank took for the layer, in milliseconds.
    pub millis: f64,
}

/// Counts of a rank in one step.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepCounts {
    /// Counts by layer.
    pub layers: Vec<LayerCount>,
}

/// Mean counts of a rank over the steps since its last report.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RankStats {
    /// Last step that the rank was allowed to enter.
    pub step: u64,
    /// Number of steps that the means cover.
    pub steps: u32,
    /// Mean counts of a step.
    pub counts: StepCounts,
}

impl RankStats {
    /// Adds the counts of one step. If the held experts have changed, the means start anew.
    pub fn add(&mut self, step: u64, counts: StepCounts) {
        self.step = step;
        let same = self.counts.layers.len() == counts.layers.len()
            && self.counts.layers.iter().zip(&counts.layers).all(|(l, r)| l.experts == r.experts);
        if !same || self.steps == 0 {
            self.steps = 1;
            self.counts = counts;
            return;
        }
        self.steps += 1;
        let weight = 1.0 / f64::from(self.steps);
        for (mean, new) in self.counts.layers.iter_mut().zip(&counts.layers) {
            mean.millis += weight * (new.millis - mean.millis);
            for (mean, new) in mean.tokens.iter_mut().zip(&new.tokens) {
                *mean += weight * (new - *mean);
            }
        }
    }
}
