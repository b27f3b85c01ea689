/// Smoothing factor of the slow exponentially weighted moving average.
const SLOW_SMOOTHING: f64 = 0.04;
/// Smoothing factor of the fast exponentially weighted moving average.
const FAST_SMOOTHING: f64 = 0.25;
/// Popularity counts as shifted if the distance between both averages is more than this many times
/// its own average. Chance alone explains a distance of about that average.
const SHIFT_FACTOR: f64 = 3.0;
/// Smoothing factor of the average distance.
const NOISE_SMOOTHING: f64 = 0.05;

/// Estimated tokens of each expert in one layer: a slow moving average that follows drift, and a
/// fast one that replaces it when the popular experts change abruptly.
#[derive(Clone, Debug)]
pub struct Popularity {
    slow: Vec<f64>,
    fast: Vec<f64>,
    /// Moving average of the distance between both averages.
    distance: f64,
    steps: u32,
}

impl Popularity {
    /// An estimator without measurements for a layer of `experts` experts.
    pub fn new(experts: usize) -> Self {
        Self { slow: vec![0.0; experts], fast: vec![0.0; experts], distance: 0.0, steps: 0 }
    }

    /// Records the token counts of one step.
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
        update_average(&mut self.slow, tokens, SLOW_SMOOTHING.max(first));
        update_average(&mut self.fast, tokens, FAST_SMOOTHING.max(first));
        self.detect_shift();
    }

    /// Replaces the slow average by the fast one if popularity has shifted.
    fn detect_shift(&mut self) {
        let between = self.slow.iter().zip(&self.fast).map(|(slow, fast)| (slow - fast).abs());
        let distance = between.sum::<f64>() / self.slow.iter().sum::<f64>().max(1.0);
        let warmed_up = f64::from(self.steps) * SLOW_SMOOTHING > 1.0;
        if warmed_up && distance > SHIFT_FACTOR * self.distance.max(f64::EPSILON) {
            self.slow.copy_from_slice(&self.fast);
            self.steps = (1.0 / FAST_SMOOTHING) as u32;
            return;
        }
        self.distance += NOISE_SMOOTHING * (distance - self.distance);
    }

    /// Estimated tokens of each expert in the next steps.
    pub fn estimate(&self) -> &[f64] {
        &self.slow
    }

    /// Whether a step has been recorded.
    pub const fn is_known(&self) -> bool {
        self.steps > 0
    }
}

/// Updates an exponentially weighted moving average.
fn update_average(mean: &mut [f64], tokens: &[f64], smoothing: f64) {
    mean.iter_mut().zip(tokens).for_each(|(mean, tokens)| *mean += smoothing * (tokens - *mean));
}
