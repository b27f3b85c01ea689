use smallvec::SmallVec;

use super::layer_state::LayerState;
use super::water::{Vessel, fill};

/// Slowest ranks that are relieved.
const HOT_RANKS: usize = 3;
/// Idle ranks that may take an expert.
const COLD_RANKS: usize = 8;

/// Experts of a slow rank that are moved by chains.
const CHAIN_EXPERTS: usize = 2;
/// Idle ranks that may take an expert by a chain.
const CHAIN_RANKS: usize = 4;
/// Experts of an idle rank that may move on.
const CHAIN_OUTS: usize = 2;
/// Places that a chain may end at.
const CHAIN_ENDS: usize = 5;

/// A change of one layer's map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// A rank fetches an expert in place of one that has other places.
    Copy { rank: usize, expert: usize, out: usize },
    /// A rank fetches an expert in place of one that moves on to a third rank, in place of one
    /// that has other places.
    Chain { rank: usize, expert: usize, out: usize, via: usize, gone: usize },
    /// Two ranks exchange an expert each.
    Swap { hot: usize, expert: usize, cold: usize, other: usize },
}

/// A change and what it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) step: Step,
    /// Fall of the potential.
    pub(super) gain: f64,
}

impl Step {
    /// Fetches that the change needs.
    pub(super) const fn fetches(&self) -> usize {
        match self {
            Self::Copy { .. } => 1,
            Self::Chain { .. } | Self::Swap { .. } => 2,
        }
    }
}

impl Candidate {
    /// Gain for each fetch.
    pub(super) fn worth(&self) -> f64 {
        self.gain / self.step.fetches() as f64
    }
}

/// The change of a layer that gains most for each fetch.
pub(super) fn best_step(state: &LayerState) -> Option<Candidate> {
    let mut order: Vec<usize> = (0..state.loads.len()).collect();
    order.sort_unstable_by(|left, right| state.level(*left).total_cmp(&state.level(*right)));
    let cold = &order[..COLD_RANKS.min(order.len())];
    let ends = chain_ends(state, &order);
    let mut best: Option<Candidate> = None;
    let mut offer = |candidate: Candidate| {
        if candidate.gain > 0.0 && best.is_none_or(|best| candidate.worth() > best.worth()) {
            best = Some(candidate);
        }
    };
    for hot in order.iter().rev().take(HOT_RANKS) {
        for (at, expert) in by_tokens(state, *hot).into_iter().rev().enumerate() {
            for rank in cold.iter().filter(|rank| !holds(state, **rank, expert)) {
                copies(state, *rank, expert, &mut offer);
                swaps(state, *hot, expert, *rank, &mut offer);
            }
            if at < CHAIN_EXPERTS {
                chains(state, expert, &order, &ends, &mut offer);
            }
        }
    }
    best
}

/// Experts of a rank, fewest tokens there first.
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

/// Places that can be given up, those on the least loaded ranks first.
fn chain_ends(state: &LayerState, order: &[usize]) -> SmallVec<[(usize, usize); 8]> {
    let spare = |rank: &usize| {
        let experts = by_tokens(state, *rank).into_iter();
        let spare = experts.filter(|expert| state.places[*expert].len() > 1).take(1);
        spare.map(|expert| (*rank, expert)).collect::<SmallVec<[(usize, usize); 1]>>()
    };
    order.iter().flat_map(spare).take(CHAIN_ENDS).collect()
}

fn chains(
    state: &LayerState,
    expert: usize,
    order: &[usize],
    ends: &[(usize, usize)],
    offer: &mut impl FnMut(Candidate),
) {
    let open = order.iter().filter(|rank| !holds(state, **rank, expert));
    for rank in open.take(CHAIN_RANKS).copied() {
        let single = |out: &usize| state.places[*out].len() == 1;
        for out in by_tokens(state, rank).into_iter().filter(single).take(CHAIN_OUTS) {
            for (via, gone) in ends.iter().copied() {
                if via != rank && gone != expert && !holds(state, via, out) {
                    let step = Step::Chain { rank, expert, out, via, gone };
                    let gain = chain_gain(state, (rank, expert), out, (via, gone));
                    offer(Candidate { step, gain });
                }
            }
        }
    }
}

fn holds(state: &LayerState, rank: usize, expert: usize) -> bool {
    state.held(rank).iter().any(|held| usize::from(*held) == expert)
}

fn copies(state: &LayerState, rank: usize, expert: usize, offer: &mut impl FnMut(Candidate)) {
    for out in state.held(rank).iter().map(|held| usize::from(*held)) {
        if state.places[out].len() > 1 {
            let step = Step::Copy { rank, expert, out };
            offer(Candidate { step, gain: copy_gain(state, rank, expert, out) });
        }
    }
}

fn swaps(
    state: &LayerState,
    hot: usize,
    expert: usize,
    cold: usize,
    offer: &mut impl FnMut(Candidate),
) {
    for other in state.held(cold).iter().map(|held| usize::from(*held)) {
        if !holds(state, hot, other) {
            let step = Step::Swap { hot, expert, cold, other };
            offer(Candidate { step, gain: swap_gain(state, hot, expert, cold, other) });
        }
    }
}

/// Loads that a trial changes, beside those of the state.
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

    /// Shares an expert out over its present places, one left out and one added.
    fn share_out(
        &mut self,
        state: &LayerState,
        expert: usize,
        without: Option<usize>,
        with: Option<usize>,
    ) {
        let mut ranks: SmallVec<[usize; 16]> = SmallVec::new();
        let mut vessels: SmallVec<[Vessel; 16]> = SmallVec::new();
        for place in &state.places[expert] {
            let base = (self.load(state, place.rank) - place.tokens).max(0.0);
            if Some(place.rank) == without {
                self.set(place.rank, base);
            } else {
                ranks.push(place.rank);
                vessels.push(Vessel { base, speed: state.speeds[place.rank] });
            }
        }
        if let Some(rank) = with {
            ranks.push(rank);
            vessels.push(Vessel { base: self.load(state, rank), speed: state.speeds[rank] });
        }
        let parts = fill(&vessels, state.tokens[expert]);
        for (rank, (vessel, part)) in ranks.into_iter().zip(vessels.iter().zip(parts)) {
            self.set(rank, vessel.base + part);
        }
    }
}

fn copy_gain(state: &LayerState, rank: usize, expert: usize, out: usize) -> f64 {
    let mut trial = Trial::default();
    trial.share_out(state, out, Some(rank), None);
    trial.share_out(state, expert, None, Some(rank));
    trial.gain(state)
}

fn swap_gain(state: &LayerState, hot: usize, expert: usize, cold: usize, other: usize) -> f64 {
    let mut trial = Trial::default();
    trial.share_out(state, other, Some(cold), Some(hot));
    trial.share_out(state, expert, Some(hot), Some(cold));
    trial.gain(state)
}

fn chain_gain(
    state: &LayerState,
    (rank, expert): (usize, usize),
    out: usize,
    (via, gone): (usize, usize),
) -> f64 {
    let mut trial = Trial::default();
    trial.share_out(state, gone, Some(via), None);
    trial.share_out(state, out, Some(rank), Some(via));
    trial.share_out(state, expert, None, Some(rank));
    trial.gain(state)
}
