use serde::{Deserialize, Serialize};

/// Tokens that a rank ran for the experts that it holds in one layer, and the time it took.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LayerCount {
    /// Experts that the rank holds.
    pub experts: Vec<u16>,
    /// Tokens of each, in the same order.
    pub tokens: Vec<f64>,
    /// Time that the rank took, in milliseconds.
    pub millis: f64,
}

/// What a rank counted in one step.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepCounts {
    /// Counts by layer.
    pub layers: Vec<LayerCount>,
}

/// What a rank counted since it was last asked: means over the steps.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RankStats {
    /// Last step that the rank was let into.
    pub step: u64,
    /// Steps that the means are over.
    pub steps: u32,
    /// Mean counts.
    pub counts: StepCounts,
}

impl RankStats {
    /// Adds the counts of one step. A new map starts the means anew.
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
        let part = 1.0 / f64::from(self.steps);
        for (mean, new) in self.counts.layers.iter_mut().zip(&counts.layers) {
            mean.millis += part * (new.millis - mean.millis);
            for (mean, new) in mean.tokens.iter_mut().zip(&new.tokens) {
                *mean += part * (new - *mean);
            }
        }
    }
}
