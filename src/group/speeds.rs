/// Smoothing factor of the exponentially weighted moving average of a speed.
const SMOOTHING: f64 = 0.3;
/// Min estimated speed, relative to the median.
const MIN_SPEED: f64 = 0.05;

/// Estimated speed of each rank relative to the median, derived only from the time that it takes
/// for its load.
#[derive(Clone, Debug)]
pub struct Speeds {
    speeds: Vec<f64>,
}

impl Speeds {
    /// Assumes that all ranks are equally fast.
    pub fn new(ranks: usize) -> Self {
        Self { speeds: vec![1.0; ranks] }
    }

    /// Records load and time of each rank in one step. Only the ratio between ranks matters, so the
    /// unit of time does not.
    ///
    /// ```
    /// # use ebonyusher::group::Speeds;
    /// let mut speeds = Speeds::new(3);
    /// (0..50).for_each(|_| speeds.observe(&[10.0, 10.0, 10.0], &[5.0, 5.0, 10.0]));
    /// assert!((speeds.get()[2] - 0.5).abs() < 1e-3);
    /// ```
    pub fn observe(&mut self, loads: &[f64], times: &[f64]) {
        let measure = |(load, time): (&f64, &f64)| {
            if *load > 0.0 && *time > 0.0 { Some(load / time) } else { None }
        };
        let measured: Vec<Option<f64>> = loads.iter().zip(times).map(measure).collect();
        let Some(typical) = median(measured.iter().flatten().copied().collect()) else {
            return;
        };
        for (speed, measured) in self.speeds.iter_mut().zip(measured) {
            if let Some(measured) = measured {
                *speed += SMOOTHING * (measured / typical - *speed);
                *speed = speed.max(MIN_SPEED);
            }
        }
    }

    /// Estimated speed of each rank.
    pub fn get(&self) -> &[f64] {
        &self.speeds
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
