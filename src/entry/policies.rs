use std::sync::atomic::{AtomicUsize, Ordering};

use rand::Rng;
use rand::rngs::SmallRng;

use super::{Candidate, Policy};

/// Occupancy that one step of distance adds to the score. It is small, so that distance decides
/// only near ties.
const DISTANCE_COST: f64 = 0.05;
/// Occupancy that a cached prefix takes off the score of an upstream with a free slot.
const CACHED_BONUS: f64 = 0.25;
/// Number of candidates drawn at random. The draw keeps entries with the same outdated load reports
/// from all choosing the same upstream.
const DRAWS: usize = 2;

/// Compares two random candidates and one that has cached the prompt prefix, and chooses the one
/// with the lowest score. If the chosen one has no free slot, all candidates are compared instead.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

impl PowerOfTwoChoices {
    /// Returns the score of a candidate; lower is better.
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

/// Chooses at random. Serves as a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl Policy for RandomChoice {
    fn choose(&self, candidates: &[Candidate], rng: &mut SmallRng) -> usize {
        rng.random_range(0..candidates.len())
    }
}

/// Chooses in turn. Serves as a baseline.
#[derive(Debug, Default)]
pub struct RoundRobin(AtomicUsize);

impl Policy for RoundRobin {
    fn choose(&self, candidates: &[Candidate], _: &mut SmallRng) -> usize {
        self.0.fetch_add(1, Ordering::Relaxed) % candidates.len()
    }
}

/// Chooses the upstream at which this entry has the fewest requests in flight. Serves as a
/// baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose(&self, candidates: &[Candidate], rng: &mut SmallRng) -> usize {
        let start = rng.random_range(0..candidates.len());
        let indices = (0..candidates.len()).map(|step| (start + step) % candidates.len());
        argmin(indices, |index| f64::from(candidates[index].in_flight))
    }
}

/// Returns the index with the lowest score, the first one on a tie.
fn argmin(indices: impl Iterator<Item = usize>, score: impl Fn(usize) -> f64) -> usize {
    let scored = indices.map(|index| (index, score(index)));
    scored.min_by(|(_, left), (_, right)| left.total_cmp(right)).map_or(0, |(index, _)| index)
}
