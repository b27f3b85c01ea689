use super::RankCounts;

/// Min distance between a reading and the mean that counts as a shift of demand: half the sum of
/// the absolute differences of the experts' shares, from 0 to 1. Readings of unchanged demand are
/// about 0.1 apart.
const MIN_SHIFT: f64 = 0.18;
/// Min ratio of that distance to the average distance for a shift, since the readings of groups
/// with few requests are further apart.
const SHIFT_FACTOR: f64 = 1.6;
/// Smoothing factor of the exponentially weighted moving average of the distance.
const NOISE_SMOOTHING: f64 = 0.1;
/// Average distance assumed before any reading.
const INITIAL_NOISE: f64 = 0.1;
/// Max number of readings that the mean weighs equally; a longer history fades exponentially.
const MAX_READINGS: u32 = 20;

/// Estimated demand for each expert of a group, from the counts of its ranks.
///
/// Demand stays the same for seconds and then changes abruptly, so the estimate for a set of layers
/// is the mean of the readings since the last change. Each reading has the same weight, however
/// many tokens the prompts in it have.
#[derive(Clone, Debug)]
pub struct Demand {
    experts: usize,
    sets: Vec<SetDemand>,
    last: Vec<RankCounts>,
}

/// Estimated shares of the tokens of one set of layers that go to each expert.
#[derive(Clone, Debug)]
struct SetDemand {
    mean: Vec<f64>,
    readings: u32,
    noise: f64,
}

impl Demand {
    /// An estimator without readings. `ranks` is the number of ranks whose counts are read,
    /// `experts` the number of experts per set.
    pub fn new(ranks: usize, sets: usize, experts: usize) -> Self {
        let set = SetDemand { mean: Vec::new(), readings: 0, noise: INITIAL_NOISE };
        Self { experts, sets: vec![set; sets], last: vec![RankCounts::default(); ranks] }
    }

    /// Records the ranks' counts since their start, and returns whether the demand for any set has
    /// shifted. What a rank counts while it does not answer is added once it answers again.
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
        let mut counted = vec![0.0; self.experts * self.sets.len()];
        for (last, counts) in self.last.iter_mut().zip(counts) {
            let Some(counts) = counts else { continue };
            add_difference(&mut counted, last, counts);
            last.clone_from(counts);
        }
        let readings = counted.chunks(self.experts.max(1));
        let shifts = self.sets.iter_mut().zip(readings).map(|(set, tokens)| set.observe(tokens));
        shifts.fold(false, |any, shifted| any | shifted)
    }

    /// Estimated share of each expert of a set, `None` before the first counts.
    pub fn shares(&self, set: usize) -> Option<&[f64]> {
        self.sets.get(set).filter(|set| set.readings > 0).map(|set| set.mean.as_slice())
    }
}

impl SetDemand {
    /// Records a reading and returns whether it shows a shift of demand.
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
        let distances = self.mean.iter().zip(&shares).map(|(mean, share)| (mean - share).abs());
        let distance = distances.sum::<f64>() / 2.0;
        if distance > MIN_SHIFT.max(SHIFT_FACTOR * self.noise) {
            self.restart(shares);
            return true;
        }
        self.noise += NOISE_SMOOTHING * (distance - self.noise);
        self.readings = (self.readings + 1).min(MAX_READINGS);
        let weight = 1.0 / f64::from(self.readings);
        self.mean
            .iter_mut()
            .zip(&shares)
            .for_each(|(mean, share)| *mean += weight * (share - *mean));
        false
    }

    fn restart(&mut self, shares: Vec<f64>) {
        self.mean = shares;
        self.readings = 1;
    }
}

/// Adds what was counted between two readings. In a new epoch or after a reset of the counters
/// nothing is added: the new counts are only the base for the next reading.
fn add_difference(sums: &mut [f64], before: &RankCounts, now: &RankCounts) {
    let comparable = before.epoch == now.epoch && before.counts.len() == now.counts.len();
    let reset = before.counts.iter().zip(&now.counts).any(|(before, now)| before > now);
    if !comparable || reset {
        return;
    }
    let differences = before.counts.iter().zip(&now.counts).map(|(before, now)| now - before);
    sums.iter_mut().zip(differences).for_each(|(sum, more)| *sum += more as f64);
}
