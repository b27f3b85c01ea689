use smallvec::SmallVec;

use super::potential::Potential;
use super::water_fill::{CandidateRank, water_fill};
use super::{LayerMap, Shape};

/// Number of sweeps over all experts with which a new state splits their tokens.
const FULL_SWEEPS: usize = 8;
/// Min sum of an expert's tokens for which shares are computed from them. Below it the places share
/// evenly, so that rounding can't leave a place empty.
const MIN_TOKENS: f64 = 1e-9;

/// One place of an expert and the tokens that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Place {
    pub(super) rank: usize,
    pub(super) tokens: f64,
}

pub(super) type Places = SmallVec<[Place; 4]>;

/// A layer's map while it is being improved, with the resulting loads.
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
    /// Starts from a map and splits the tokens of each expert over its places anew.
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

    /// Time that a rank needs for its load.
    pub(super) fn time(&self, rank: usize) -> f64 {
        self.loads[rank] / self.speeds[rank]
    }

    /// Time of the rank that finishes last.
    pub(super) fn slowest_time(&self) -> f64 {
        (0..self.loads.len()).map(|rank| self.time(rank)).fold(0.0, f64::max)
    }

    /// Experts that a rank holds.
    pub(super) fn held(&self, rank: usize) -> &[u16] {
        &self.held[rank * self.slots..(rank + 1) * self.slots]
    }

    /// Splits the tokens of each expert with several places again, `times` times over.
    pub(super) fn sweep(&mut self, times: usize) {
        for _ in 0..times {
            for expert in 0..self.places.len() {
                if self.places[expert].len() > 1 {
                    self.split_tokens(expert);
                }
            }
        }
        self.potential = Potential::new(&self.loads, &self.speeds);
    }

    /// Splits the tokens of one expert so that its places finish at the same time.
    pub(super) fn split_tokens(&mut self, expert: usize) {
        let candidates: SmallVec<[CandidateRank; 16]> = self.places[expert]
            .iter()
            .map(|place| CandidateRank {
                base_load: (self.loads[place.rank] - place.tokens).max(0.0),
                speed: self.speeds[place.rank],
            })
            .collect();
        let parts = water_fill(&candidates, self.tokens[expert]);
        for (place, (candidate, part)) in
            self.places[expert].iter_mut().zip(candidates.iter().zip(parts))
        {
            place.tokens = part;
            self.loads[place.rank] = candidate.base_load + part;
        }
    }

    /// Replaces an expert on a rank by another.
    pub(super) fn replace(&mut self, rank: usize, evicted: usize, fetched: usize) {
        let slot = self.held(rank).iter().position(|held| usize::from(*held) == evicted);
        let Some(slot) = slot else { return };
        self.held[rank * self.slots + slot] = fetched as u16;
        let at = self.places[evicted].iter().position(|place| place.rank == rank);
        if let Some(at) = at {
            let removed = self.places[evicted].swap_remove(at);
            self.loads[rank] -= removed.tokens;
        }
        self.places[fetched].push(Place { rank, tokens: 0.0 });
        self.split_tokens(evicted);
        self.split_tokens(fetched);
    }

    /// Returns the map with the shares that the loads are based on.
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
        if sum < MIN_TOKENS {
            return 1.0 / places.len() as f32;
        }
        let own = places.iter().find(|place| place.rank == rank);
        own.map_or(0.0, |place| (place.tokens / sum) as f32)
    }
}
