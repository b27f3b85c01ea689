/// Exponent of the mean: high, so that the mean comes close to the slowest rank, yet still falls
/// when one of several equally slow ranks improves.
const EXPONENT: i32 = 16;

/// Smooth approximation of the skew of a layer: the speed-weighted power mean of the ranks' times
/// over the ideal time, in which all ranks would finish together.
#[derive(Clone, Debug)]
pub(super) struct Potential {
    sum: f64,
    ideal: f64,
    total_speed: f64,
}

impl Potential {
    /// The potential of the given loads on ranks of the given speeds.
    pub(super) fn new(loads: &[f64], speeds: &[f64]) -> Self {
        let total_speed: f64 = speeds.iter().sum();
        let ideal = (loads.iter().sum::<f64>() / total_speed).max(f64::MIN_POSITIVE);
        let mut potential = Self { sum: 0.0, ideal, total_speed };
        potential.sum =
            loads.iter().zip(speeds).map(|(load, speed)| potential.term(*load, *speed)).sum();
        potential
    }

    fn term(&self, load: f64, speed: f64) -> f64 {
        speed * (load / speed / self.ideal).powi(EXPONENT)
    }

    /// Value of the potential: 1 if all ranks finish together.
    pub(super) fn value(&self) -> f64 {
        (self.sum / self.total_speed).powf(1.0 / f64::from(EXPONENT))
    }

    /// Updates the potential for a change of a rank's load.
    pub(super) fn change(&mut self, from: f64, to: f64, speed: f64) {
        self.sum += self.term(to, speed) - self.term(from, speed);
    }
}
