use super::RankCounts;

/// Least distance of a reading from the mean that counts as a shift of demand. Readings of one
/// demand lie about 0.1 apart.
const LEAST_SHIFT: f64 = 0.18;
/// The same against the usual distance, for groups with few requests.
const SHIFT_FACTOR: f64 = 1.6;
/// Weight of the newest distance in the usual one.
const NOISE_GAIN: f64 = 0.1;
/// Usual distance before any reading.
const FIRST_NOISE: f64 = 0.1;
/// Readings that the mean goes back over.
const MEMORY: u32 = 20;

/// Estimated demand for each expert of a group, from what its ranks counted.
///
/// Demand stays the same for seconds and then changes at once, so a set's estimate is the mean of
/// the readings since the last change. Each reading counts alike, whatever the length of the
/// prompts in it.
#[derive(Clone, Debug)]
pub struct Demand {
    experts: usize,
    sets: Vec<SetDemand>,
    seen: Vec<RankCounts>,
}

/// Estimated shares of the tokens of one set that go to each expert.
#[derive(Clone, Debug)]
struct SetDemand {
    mean: Vec<f64>,
    readings: u32,
    noise: f64,
}

impl Demand {
    /// Knows nothing yet of a group of so many ranks with so many sets of experts.
    pub fn new(ranks: usize, sets: usize, experts: usize) -> Self {
        let set = SetDemand { mean: Vec::new(), readings: 0, noise: FIRST_NOISE };
        Self { experts, sets: vec![set; sets], seen: vec![RankCounts::default(); ranks] }
    }

    /// Takes in what the ranks have counted since they started, and tells whether the demand for a
    /// set has shifted. A rank without an answer counts when it answers again.
    ///
    /// ```
    /// # use ebonyusher::remap::{Demand, RankCounts};
    /// let mut demand = Demand::new(1, 1, 2);
    /// let counts = |counts: [u64; 2]| [Some(RankCounts { epoch: 1, counts: counts.to_vec() })];
    /// demand.observe(&counts([5, 5]));
    /// demand.observe(&counts([8, 6]));
    /// assert_eq!(demand.shares(0), Some([0.75, 0.25].as_slice()));
    /// assert!(demand.observe(&counts([8, 10])));
    /// assert_eq!(demand.shares(0), Some([0.0, 1.0].as_slice()));
    /// ```
    pub fn observe(&mut self, counts: &[Option<RankCounts>]) -> bool {
        let mut fresh = vec![0.0; self.experts * self.sets.len()];
        for (seen, counts) in self.seen.iter_mut().zip(counts) {
            let Some(counts) = counts else { continue };
            add_difference(&mut fresh, seen, counts);
            seen.clone_from(counts);
        }
        let readings = fresh.chunks(self.experts.max(1));
        let shifts = self.sets.iter_mut().zip(readings).map(|(set, tokens)| set.observe(tokens));
        shifts.fold(false, |any, shifted| any | shifted)
    }

    /// Estimated share of each expert of a set, nothing before the first counts.
    pub fn shares(&self, set: usize) -> Option<&[f64]> {
        self.sets.get(set).filter(|set| set.readings > 0).map(|set| set.mean.as_slice())
    }
}

impl SetDemand {
    /// Takes in a reading, and tells whether demand has shifted since the one before.
    fn observe(&mut self, tokens: &[f64]) -> bool {
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return false;
        }
        let shares: Vec<f64> = tokens.iter().map(|tokens| tokens / total).collect();
        if self.readings == 0 {
            self.restart(shares);
            return false;
        }
        let apart = self.mean.iter().zip(&shares).map(|(mean, share)| (mean - share).abs());
        let distance = apart.sum::<f64>() / 2.0;
        if distance > LEAST_SHIFT.max(SHIFT_FACTOR * self.noise) {
            self.restart(shares);
            return true;
        }
        self.noise += NOISE_GAIN * (distance - self.noise);
        self.readings = (self.readings + 1).min(MEMORY);
        let gain = 1.0 / f64::from(self.readings);
        self.mean.iter_mut().zip(&shares).for_each(|(mean, share)| *mean += gain * (share - *mean));
        false
    }

    fn restart(&mut self, shares: Vec<f64>) {
        self.mean = shares;
        self.readings = 1;
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
