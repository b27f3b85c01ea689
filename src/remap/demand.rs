use super::RankCounts;
use crate::group::Popularity;

/// Estimated demand for each expert of a group, from what its ranks counted.
#[derive(Clone, Debug)]
pub struct Demand {
    experts: usize,
    sets: Vec<Popularity>,
    seen: Vec<RankCounts>,
}

impl Demand {
    /// Knows nothing yet of a group of so many ranks with so many sets of experts.
    pub fn new(ranks: usize, sets: usize, experts: usize) -> Self {
        Self {
            experts,
            sets: vec![Popularity::new(experts); sets],
            seen: vec![RankCounts::default(); ranks],
        }
    }

    /// Takes in what the ranks have counted since they started; a rank without an answer counts
    /// when it answers again.
    ///
    /// ```
    /// # use ebonyusher::remap::{Demand, RankCounts};
    /// let mut demand = Demand::new(1, 1, 2);
    /// let counts = |counts: [u64; 2]| Some(RankCounts { epoch: 1, counts: counts.to_vec() });
    /// demand.observe(&[counts([5, 5])]);
    /// demand.observe(&[counts([8, 6])]);
    /// assert_eq!(demand.of_set(0), Some([3.0, 1.0].as_slice()));
    /// ```
    pub fn observe(&mut self, counts: &[Option<RankCounts>]) {
        let mut fresh = vec![0.0; self.experts * self.sets.len()];
        for (seen, counts) in self.seen.iter_mut().zip(counts) {
            let Some(counts) = counts else { continue };
            add_difference(&mut fresh, seen, counts);
            seen.clone_from(counts);
        }
        for (set, popularity) in self.sets.iter_mut().enumerate() {
            let tokens = &fresh[set * self.experts..][..self.experts];
            if tokens.iter().any(|tokens| *tokens > 0.0) {
                popularity.observe(tokens);
            }
        }
    }

    /// Estimated demand for the experts of a set, nothing before the first counts.
    pub fn of_set(&self, set: usize) -> Option<&[f64]> {
        self.sets.get(set).filter(|set| set.is_known()).map(Popularity::estimate)
    }
}

/// Adds what was counted since an earlier reading. Counts that begin anew only show what comes
/// after them.
fn add_difference(sums: &mut [f64], before: &RankCounts, now: &RankCounts) {
    let comparable = before.epoch == now.epoch && before.counts.len() == now.counts.len();
    let anew = before.counts.iter().zip(&now.counts).any(|(before, now)| before > now);
    if !comparable || anew {
        return;
    }
    let differences = before.counts.iter().zip(&now.counts).map(|(before, now)| now - before);
    sums.iter_mut().zip(differences).for_each(|(sum, more)| *sum += more as f64);
}
