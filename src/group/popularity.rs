/// Weight of the newest step in the slow mean.
const SLOW_GAIN: f64 = 0.04;
/// Weight of the newest step in the fast mean.
const FAST_GAIN: f64 = 0.25;
/// Distance between both means, over what chance alone explains, that counts as a shift.
const SHIFT_FACTOR: f64 = 3.0;
/// Weight of one step in the noise estimate.
const NOISE_GAIN: f64 = 0.05;

/// Estimated tokens of each expert in one layer: a slow mean for drift, and a fast one that takes
/// over when the popular experts change at once.
#[derive(Clone, Debug)]
pub struct Popularity {
    slow: Vec<f64>,
    fast: Vec<f64>,
    distance: f64,
    steps: u32,
}

impl Popularity {
    /// Knows nothing yet of so many experts.
    pub fn new(experts: usize) -> Self {
        Self { slow: vec![0.0; experts], fast: vec![0.0; experts], distance: 0.0, steps: 0 }
    }

    /// Takes in the token counts of one step.
    ///
    /// ```
    /// # use ebonyusher::group::Popularity;
    /// let mut popularity = Popularity::new(2);
    /// popularity.observe(&[3.0, 1.0]);
    /// assert_eq!(popularity.estimate(), [3.0, 1.0]);
    /// ```
    pub fn observe(&mut self, tokens: &[f64]) {
        self.steps += 1;
        let first = 1.0 / f64::from(self.steps);
        blend(&mut self.slow, tokens, SLOW_GAIN.max(first));
        blend(&mut self.fast, tokens, FAST_GAIN.max(first));
        self.watch_shift();
    }

    fn watch_shift(&mut self) {
        let between = self.slow.iter().zip(&self.fast).map(|(slow, fast)| (slow - fast).abs());
        let distance = between.sum::<f64>() / self.slow.iter().sum::<f64>().max(1.0);
        let settled = f64::from(self.steps) * SLOW_GAIN > 1.0;
        if settled && distance > SHIFT_FACTOR * self.distance.max(f64::EPSILON) {
            self.slow.copy_from_slice(&self.fast);
            self.steps = (1.0 / FAST_GAIN) as u32;
            return;
        }
        self.distance += NOISE_GAIN * (distance - self.distance);
    }

    /// Estimated tokens of each expert in the next steps.
    pub fn estimate(&self) -> &[f64] {
        &self.slow
    }

    /// Whether anything has been seen.
    pub const fn is_known(&self) -> bool {
        self.steps > 0
    }
}

fn blend(mean: &mut [f64], tokens: &[f64], gain: f64) {
    mean.iter_mut().zip(tokens).for_each(|(mean, tokens)| *mean += gain * (tokens - *mean));
}
