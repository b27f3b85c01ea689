use smallvec::SmallVec;

use super::layer_state::LayerState;
use super::water_fill::{CandidateRank, water_fill};

/// How many of the ranks that finish last are considered for giving up load.
const HOT_RANKS: usize = 3;
/// How many of the ranks that finish first are considered for taking an expert.
const COLD_RANKS: usize = 8;

/// Number of experts of a slow rank that are considered for a chain. See [`MapChange::Chain`].
const CHAIN_EXPERTS: usize = 2;
/// How many of the ranks that finish first are considered for taking an expert in a chain.
const CHAIN_RANKS: usize = 4;
/// Number of experts of the rank that takes one in a chain that are considered for moving on.
const CHAIN_DISPLACED: usize = 2;
/// Number of places that are considered as the end of a chain.
const CHAIN_ENDS: usize = 5;

/// A change of one layer's map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum MapChange {
    /// A rank fetches an expert and evicts one that has other places.
    Copy { rank: usize, expert: usize, evicted: usize },
    /// A rank fetches an expert in place of `displaced`, which moves on to the rank `via`, in place
    /// of `evicted`, which has other places.
    Chain { rank: usize, expert: usize, displaced: usize, via: usize, evicted: usize },
    /// Two ranks exchange one expert each.
    Swap { hot: usize, expert: usize, cold: usize, other: usize },
}

/// A change and its gain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) change: MapChange,
    /// Reduction of the layer's potential.
    pub(super) gain: f64,
}

impl MapChange {
    /// Number of fetches that the change needs.
    pub(super) const fn fetches(&self) -> usize {
        match self {
            Self::Copy { .. } => 1,
            Self::Chain { .. } | Self::Swap { .. } => 2,
        }
    }
}

impl Candidate {
    /// Gain per fetch.
    pub(super) fn gain_per_fetch(&self) -> f64 {
        self.gain / self.change.fetches() as f64
    }
}

/// Returns the change of a layer with the greatest gain per fetch.
pub(super) fn best_change(state: &LayerState) -> Option<Candidate> {
    let mut by_time: Vec<usize> = (0..state.loads.len()).collect();
    by_time.sort_unstable_by(|left, right| state.time(*left).total_cmp(&state.time(*right)));
    let cold = &by_time[..COLD_RANKS.min(by_time.len())];
    let ends = chain_ends(state, &by_time);
    let mut best: Option<Candidate> = None;
    let mut offer = |candidate: Candidate| {
        if candidate.gain > 0.0
            && best.is_none_or(|best| candidate.gain_per_fetch() > best.gain_per_fetch())
        {
            best = Some(candidate);
        }
    };
    for hot in by_time.iter().rev().take(HOT_RANKS) {
        for (at, expert) in by_tokens(state, *hot).into_iter().rev().enumerate() {
            for rank in cold.iter().filter(|rank| !holds(state, **rank, expert)) {
                copies(state, *rank, expert, &mut offer);
                swaps(state, *hot, expert, *rank, &mut offer);
            }
            if at < CHAIN_EXPERTS {
                chains(state, expert, &by_time, &ends, &mut offer);
            }
        }
    }
    best
}

/// Experts of a rank, in ascending order of their tokens on it.
fn by_tokens(state: &LayerState, rank: usize) -> SmallVec<[usize; 8]> {
    let mut experts: SmallVec<[usize; 8]> =
        state.held(rank).iter().map(|held| usize::from(*held)).collect();
    let tokens = |expert: &usize| {
        let places = &state.places[*expert];
        places.iter().find(|place| place.rank == rank).map_or(0.0, |place| place.tokens)
    };
    experts.sort_by(|left, right| tokens(left).total_cmp(&tokens(right)));
    experts
}

/// Places, as rank and expert, that can be given up: at most one of each rank, ranks that
/// finish first come first.
fn chain_ends(state: &LayerState, by_time: &[usize]) -> SmallVec<[(usize, usize); 8]> {
    let spare = |rank: &usize| {
        let experts = by_tokens(state, *rank).into_iter();
        let spare = experts.filter(|expert| state.places[*expert].len() > 1).take(1);
        spare.map(|expert| (*rank, expert)).collect::<SmallVec<[(usize, usize); 1]>>()
    };
    by_time.iter().flat_map(spare).take(CHAIN_ENDS).collect()
}

/// Offers the chains that begin with fetching `expert` on one of the ranks that finish first.
fn chains(
    state: &LayerState,
    expert: usize,
    by_time: &[usize],
    ends: &[(usize, usize)],
    offer: &mut impl FnMut(Candidate),
) {
    let takers = by_time.iter().filter(|rank| !holds(state, **rank, expert));
    for rank in takers.take(CHAIN_RANKS).copied() {
        let single = |held: &usize| state.places[*held].len() == 1;
        for displaced in by_tokens(state, rank).into_iter().filter(single).take(CHAIN_DISPLACED) {
            for (via, evicted) in ends.iter().copied() {
                if via != rank && evicted != expert && !holds(state, via, displaced) {
                    let change = MapChange::Chain { rank, expert, displaced, via, evicted };
                    let gain = chain_gain(state, (rank, expert), displaced, (via, evicted));
                    offer(Candidate { change, gain });
                }
            }
        }
    }
}

fn holds(state: &LayerState, rank: usize, expert: usize) -> bool {
    state.held(rank).iter().any(|held| usize::from(*held) == expert)
}

/// Offers the copies of an expert to a rank.
fn copies(state: &LayerState, rank: usize, expert: usize, offer: &mut impl FnMut(Candidate)) {
    for evicted in state.held(rank).iter().map(|held| usize::from(*held)) {
        if state.places[evicted].len() > 1 {
            let change = MapChange::Copy { rank, expert, evicted };
            offer(Candidate { change, gain: copy_gain(state, rank, expert, evicted) });
        }
    }
}

/// Offers the swaps of an expert of the rank `hot` for one of the rank `cold`.
fn swaps(
    state: &LayerState,
    hot: usize,
    expert: usize,
    cold: usize,
    offer: &mut impl FnMut(Candidate),
) {
    for other in state.held(cold).iter().map(|held| usize::from(*held)) {
        if !holds(state, hot, other) {
            let change = MapChange::Swap { hot, expert, cold, other };
            offer(Candidate { change, gain: swap_gain(state, hot, expert, cold, other) });
        }
    }
}

/// Loads that a tried change would give to some ranks, in place of those of the state.
#[derive(Default)]
struct Trial {
    loads: SmallVec<[(usize, f64); 32]>,
}

impl Trial {
    fn load(&self, state: &LayerState, rank: usize) -> f64 {
        let known = self.loads.iter().find(|(at, _)| *at == rank);
        known.map_or(state.loads[rank], |(_, load)| *load)
    }

    fn set(&mut self, rank: usize, load: f64) {
        match self.loads.iter_mut().find(|(at, _)| *at == rank) {
            Some((_, known)) => *known = load,
            None => self.loads.push((rank, load)),
        }
    }

    fn gain(&self, state: &LayerState) -> f64 {
        let mut potential = state.potential.clone();
        for (rank, load) in &self.loads {
            potential.change(state.loads[*rank], *load, state.speeds[*rank]);
        }
        state.potential.value() - potential.value()
    }

    /// Splits an expert's tokens over its present places, without the rank `without` and with the
    /// rank `with`.
    fn split_tokens(
        &mut self,
        state: &LayerState,
        expert: usize,
        without: Option<usize>,
        with: Option<usize>,
    ) {
        let mut ranks: SmallVec<[usize; 16]> = SmallVec::new();
        let mut candidates: SmallVec<[CandidateRank; 16]> = SmallVec::new();
        for place in &state.places[expert] {
            let base_load = (self.load(state, place.rank) - place.tokens).max(0.0);
            if Some(place.rank) == without {
                self.set(place.rank, base_load);
            } else {
                ranks.push(place.rank);
                candidates.push(CandidateRank { base_load, speed: state.speeds[place.rank] });
            }
        }
        if let Some(rank) = with {
            ranks.push(rank);
            candidates.push(CandidateRank {
                base_load: self.load(state, rank),
                speed: state.speeds[rank],
            });
        }
        let parts = water_fill(&candidates, state.tokens[expert]);
        for (rank, (candidate, part)) in ranks.into_iter().zip(candidates.iter().zip(parts)) {
            self.set(rank, candidate.base_load + part);
        }
    }
}

fn copy_gain(state: &LayerState, rank: usize, expert: usize, evicted: usize) -> f64 {
    let mut trial = Trial::default();
    trial.split_tokens(state, evicted, Some(rank), None);
    trial.split_tokens(state, expert, None, Some(rank));
    trial.gain(state)
}

fn swap_gain(state: &LayerState, hot: usize, expert: usize, cold: usize, other: usize) -> f64 {
    let mut trial = Trial::default();
    trial.split_tokens(state, other, Some(cold), Some(hot));
    trial.split_tokens(state, expert, Some(hot), Some(cold));
    trial.gain(state)
}

fn chain_gain(
    state: &LayerState,
    (rank, expert): (usize, usize),
    displaced: usize,
    (via, evicted): (usize, usize),
) -> f64 {
    let mut trial = Trial::default();
    trial.split_tokens(state, evicted, Some(via), None);
    trial.split_tokens(state, displaced, Some(rank), Some(via));
    trial.split_tokens(state, expert, None, Some(rank));
    trial.gain(state)
}
