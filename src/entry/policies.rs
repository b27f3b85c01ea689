use std::sync::atomic::{AtomicUsize, Ordering};

use rand::Rng;
use rand::rngs::SmallRng;

use super::{Policy, View};

/// Occupancy that one step of distance is worth, so that it decides only near ties.
const DISTANCE_COST: f64 = 0.05;
/// Occupancy that a cached prefix is worth at an upstream with a free slot.
const CACHED_GAIN: f64 = 0.25;
/// Candidates drawn at random, so that entries with the same late reports don't all choose alike.
const DRAWS: usize = 2;

/// Compares two random candidates and one that holds the prompt prefix. If all of them queue, all
/// candidates are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weighed;

impl Weighed {
    fn score(view: &View) -> f64 {
        let cached = if view.cached && view.occupancy < 1.0 { CACHED_GAIN } else { 0.0 };
        view.occupancy + view.distance as f64 * DISTANCE_COST - cached
    }
}

impl Policy for Weighed {
    fn choose(&self, views: &[View], rng: &mut SmallRng) -> usize {
        let drawn = (0..DRAWS).map(|_| rng.random_range(0..views.len()));
        let cached = views.iter().position(|view| view.cached);
        let best = least(drawn.chain(cached), |at| Self::score(&views[at]));
        if views[best].occupancy < 1.0 {
            return best;
        }
        least(0..views.len(), |at| Self::score(&views[at]))
    }
}

/// Chooses at random; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl Policy for RandomChoice {
    fn choose(&self, views: &[View], rng: &mut SmallRng) -> usize {
        rng.random_range(0..views.len())
    }
}

/// Chooses in turn; a baseline.
#[derive(Debug, Default)]
pub struct RoundRobin(AtomicUsize);

impl Policy for RoundRobin {
    fn choose(&self, views: &[View], _: &mut SmallRng) -> usize {
        self.0.fetch_add(1, Ordering::Relaxed) % views.len()
    }
}

/// Chooses where this entry has the fewest requests in flight; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose(&self, views: &[View], rng: &mut SmallRng) -> usize {
        let start = rng.random_range(0..views.len());
        let order = (0..views.len()).map(|step| (start + step) % views.len());
        least(order, |at| f64::from(views[at].in_flight))
    }
}

fn least(order: impl Iterator<Item = usize>, score: impl Fn(usize) -> f64) -> usize {
    let scored = order.map(|at| (at, score(at)));
    scored.min_by(|(_, left), (_, right)| left.total_cmp(right)).map_or(0, |(at, _)| at)
}
