/// Weight of the newest step in the estimate.
const GAIN: f64 = 0.3;
/// Slowest speed that is believed, against the usual one.
const LEAST_SPEED: f64 = 0.05;

/// Estimated speed of each rank, seen only through the time that it took for its load.
#[derive(Clone, Debug)]
pub struct Speeds {
    speeds: Vec<f64>,
}

impl Speeds {
    /// Takes all ranks for equally fast.
    pub fn new(ranks: usize) -> Self {
        Self {
            speeds: vec![1.0; ranks],
        }
    }

    /// Takes in load and time of each rank in one step.
    ///
    /// ```
    /// # use ebonyusher::group::Speeds;
    /// let mut speeds = Speeds::new(1);
    /// (0..50).for_each(|_| speeds.observe(&[10.0], &[20.0]));
    /// assert!((speeds.get()[0] - 0.5).abs() < 1e-3);
    /// ```
    pub fn observe(&mut self, loads: &[f64], times: &[f64]) {
        for (speed, (load, time)) in self.speeds.iter_mut().zip(loads.iter().zip(times)) {
            if *load > 0.0 && *time > 0.0 {
                *speed += GAIN * (load / time - *speed);
                *speed = speed.max(LEAST_SPEED);
            }
        }
    }

    /// Speed of each rank.
    pub fn get(&self) -> &[f64] {
        &self.speeds
    }
}
