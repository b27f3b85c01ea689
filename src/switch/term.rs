use super::ranks::Ranks;
use super::{MapId, RankStats};
use crate::group::{ExpertMap, Planner, Shape};

/// One term of leadership.
pub(super) struct Term {
    pub(super) fence: u64,
    pub(super) epoch: u64,
    pub(super) serial: u32,
    pub(super) ranks: Ranks,
    pub(super) planner: Planner,
    pub(super) map: ExpertMap,
    pub(super) id: MapId,
}

impl Term {
    /// Adds what all ranks counted and feeds the planner.
    pub(super) fn observe(&mut self, shape: &Shape, stats: &[RankStats]) {
        if stats.iter().any(|rank| rank.steps == 0) {
            return;
        }
        for layer in 0..shape.layers {
            let mut tokens = vec![0.0; shape.experts];
            let (mut loads, mut times) = (Vec::new(), Vec::new());
            for rank in stats {
                let Some(count) = rank.counts.layers.get(layer) else {
                    return;
                };
                for (expert, counted) in count.experts.iter().zip(&count.tokens) {
                    if let Some(sum) = tokens.get_mut(usize::from(*expert)) {
                        *sum += counted;
                    }
                }
                loads.push(count.tokens.iter().sum());
                times.push(count.millis);
            }
            self.planner.observe(layer, &tokens, &loads, &times);
        }
    }
}
