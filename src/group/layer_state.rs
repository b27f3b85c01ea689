use smallvec::SmallVec;

use super::potential::Potential;
use super::water::{Vessel, fill};
use super::{LayerMap, Shape};

/// Sweeps over all experts after the estimate has changed.
const FULL_SWEEPS: usize = 8;
/// Least share of a place, so that a place can't be empty by rounding.
const LEAST_SUM: f64 = 1e-9;

/// One place of an expert.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Place {
    pub(super) rank: usize,
    pub(super) tokens: f64,
}

pub(super) type Places = SmallVec<[Place; 4]>;

/// A layer's map while it is being improved, with the loads that it gives.
#[derive(Clone, Debug)]
pub(super) struct LayerState {
    slots: usize,
    held: Vec<u16>,
    pub(super) places: Vec<Places>,
    pub(super) tokens: Vec<f64>,
    pub(super) loads: Vec<f64>,
    pub(super) speeds: Vec<f64>,
    pub(super) potential: Potential,
}

impl LayerState {
    /// Takes a map over and shares tokens out anew.
    pub(super) fn new(shape: &Shape, map: &LayerMap, tokens: &[f64], speeds: &[f64]) -> Self {
        let mut places = vec![Places::new(); shape.experts];
        let mut held = Vec::with_capacity(shape.ranks * shape.slots);
        for rank in 0..shape.ranks {
            for (expert, share) in map.held(rank).iter().zip(map.shares(rank)) {
                let expert = usize::from(*expert);
                let tokens = tokens[expert] * f64::from(*share);
                places[expert].push(Place { rank, tokens });
            }
            held.extend_from_slice(map.held(rank));
        }
        let loads = map.loads(tokens);
        let potential = Potential::new(&loads, speeds);
        let mut state = Self {
            slots: shape.slots,
            held,
            places,
            tokens: tokens.to_vec(),
            loads,
            speeds: speeds.to_vec(),
            potential,
        };
        state.sweep(FULL_SWEEPS);
        state
    }

    /// Level of a rank: the time that it needs.
    pub(super) fn level(&self, rank: usize) -> f64 {
        self.loads[rank] / self.speeds[rank]
    }

    /// Experts that a rank holds.
    pub(super) fn held(&self, rank: usize) -> &[u16] {
        &self.held[rank * self.slots..(rank + 1) * self.slots]
    }

    /// Shares the tokens of each expert with several places out again, several times over.
    pub(super) fn sweep(&mut self, times: usize) {
        for _ in 0..times {
            for expert in 0..self.places.len() {
                if self.places[expert].len() > 1 {
                    self.share_out(expert);
                }
            }
        }
        self.potential = Potential::new(&self.loads, &self.speeds);
    }

    /// Shares the tokens of one expert out so that its places end at the same time.
    pub(super) fn share_out(&mut self, expert: usize) {
        let vessels: SmallVec<[Vessel; 16]> = self.places[expert]
            .iter()
            .map(|place| Vessel {
                base: (self.loads[place.rank] - place.tokens).max(0.0),
                speed: self.speeds[place.rank],
            })
            .collect();
        let parts = fill(&vessels, self.tokens[expert]);
        for (place, (vessel, part)) in self.places[expert].iter_mut().zip(vessels.iter().zip(parts))
        {
            place.tokens = part;
            self.loads[place.rank] = vessel.base + part;
        }
    }

    /// Puts an expert in the place of another one on a rank.
    pub(super) fn replace(&mut self, rank: usize, out: usize, into: usize) {
        let slot = self.held(rank).iter().position(|held| usize::from(*held) == out);
        let Some(slot) = slot else { return };
        self.held[rank * self.slots + slot] = into as u16;
        let at = self.places[out].iter().position(|place| place.rank == rank);
        if let Some(at) = at {
            let gone = self.places[out].swap_remove(at);
            self.loads[rank] -= gone.tokens;
        }
        self.places[into].push(Place { rank, tokens: 0.0 });
        self.share_out(out);
        self.share_out(into);
    }

    /// The map with the shares that the loads rest on.
    pub(super) fn to_map(&self) -> LayerMap {
        let shares = self.held.iter().enumerate().map(|(place, expert)| {
            let (rank, expert) = (place / self.slots, usize::from(*expert));
            self.share(expert, rank)
        });
        LayerMap::with_shares(self.slots, self.held.clone(), shares.collect())
    }

    fn share(&self, expert: usize, rank: usize) -> f32 {
        let places = &self.places[expert];
        let sum: f64 = places.iter().map(|place| place.tokens).sum();
        if sum < LEAST_SUM {
            return 1.0 / places.len() as f32;
        }
        let own = places.iter().find(|place| place.rank == rank);
        own.map_or(0.0, |place| (place.tokens / sum) as f32)
    }
}
