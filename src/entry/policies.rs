use std::sync::atomic::{AtomicUsize, Ordering};

use rand::Rng;
use rand::rngs::SmallRng;

use super::{Candidate, Policy};

/// Occupancy that one step of distance is worth, so that it decides only near ties.
const DISTANCE_COST: f64 = 0.05;
/// Occupancy that a cached prefix is worth at an upstream with a free slot.
const CACHED_BONUS: f64 = 0.25;
/// Candidates drawn at random, so that entries with the same late reports don't all choose alike.
const DRAWS: usize = 2;

/// Compares two random candidates and one that holds the prompt prefix. If all of them queue, all
/// candidates are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

impl PowerOfTwoChoices {
    fn score(candidate: &Candidate) -> f64 {
        let cached = if candidate.cached && candidate.occupancy < 1.0 { CACHED_BONUS } else { 0.0 };
        candidate.occupancy + candidate.distance as f64 * DISTANCE_COST - cached
    }
}

impl Policy for PowerOfTwoChoices {
    fn choose(&self, candidates: &[Candidate], rng: &mut SmallRng) -> usize {
        let drawn = (0..DRAWS).map(|_| rng.random_range(0..candidates.len()));
        let cached = candidates.iter().position(|candidate| candidate.cached);
        let best = argmin(drawn.chain(cached), |index| Self::score(&candidates[index]));
        if candidates[best].occupancy < 1.0 {
            return best;
        }
        argmin(0..candidates.len(), |index| Self::score(&candidates[index]))
    }
}

/// Chooses at random; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl Policy for RandomChoice {
    fn choose(&self, candidates: &[Candidate], rng: &mut SmallRng) -> usize {
        rng.random_range(0..candidates.len())
    }
}

/// Chooses in turn; a baseline.
#[derive(Debug, Default)]
pub struct RoundRobin(AtomicUsize);

impl Policy for RoundRobin {
    fn choose(&self, candidates: &[Candidate], _: &mut SmallRng) -> usize {
        self.0.fetch_add(1, Ordering::Relaxed) % candidates.len()
    }
}

/// Chooses where this entry has the fewest requests in flight; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose(&self, candidates: &[Candidate], rng: &mut SmallRng) -> usize {
        let start = rng.random_range(0..candidates.len());
        let indices = (0..candidates.len()).map(|step| (start + step) % candidates.len());
        argmin(indices, |index| f64::from(candidates[index].in_flight))
    }
}

fn argmin(indices: impl Iterator<Item = usize>, score: impl Fn(usize) -> f64) -> usize {
    let scored = indices.map(|index| (index, score(index)));
    scored.min_by(|(_, left), (_, right)| left.total_cmp(right)).map_or(0, |(index, _)| index)
}
