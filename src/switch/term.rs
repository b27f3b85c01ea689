use super::ranks::Ranks;
use super::{MapId, RankStats};
use crate::group::{ExpertMap, Planner, Shape};

/// State of a leader during one term.
pub(super) struct Term {
    pub(super) fence: u64,
    pub(super) epoch: u64,
    /// Serial number of the last proposal.
    pub(super) serial: u32,
    pub(super) ranks: Ranks,
    pub(super) planner: Planner,
    pub(super) map: ExpertMap,
    /// ID of `map`.
    pub(super) id: MapId,
    /// Version of the last map that was planned, whether or not it came into force.
    pub(super) planned: u64,
}

impl Term {
    /// Takes the ID for a new map. No other map gets it, also if the ranks vote against this one:
    /// some may hold its weights under that ID.
    pub(super) fn new_id(&mut self) -> MapId {
        self.planned = self.planned.max(self.id.version) + 1;
        MapId { version: self.planned, fence: self.fence }
    }

    /// Sums up the counts of all ranks by layer and passes them to the planner. Does nothing if a
    /// rank has counted no step, and stops at the first layer that a rank has no counts for.
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
