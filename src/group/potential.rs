/// Exponent of the mean: high, so that it comes close to the slowest rank, and yet sees a gain at
/// one of several equally slow ranks.
const POWER: i32 = 16;

/// Smooth stand-in for the skew of a layer: the speed-weighted power mean of the ranks' levels
/// over the ideal.
#[derive(Clone, Debug)]
pub(super) struct Potential {
    sum: f64,
    ideal: f64,
    weight: f64,
}

impl Potential {
    /// The potential of loads on ranks of given speeds.
    pub(super) fn new(loads: &[f64], speeds: &[f64]) -> Self {
        let weight: f64 = speeds.iter().sum();
        let ideal = (loads.iter().sum::<f64>() / weight).max(f64::MIN_POSITIVE);
        let mut potential = Self { sum: 0.0, ideal, weight };
        potential.sum =
            loads.iter().zip(speeds).map(|(load, speed)| potential.term(*load, *speed)).sum();
        potential
    }

    fn term(&self, load: f64, speed: f64) -> f64 {
        speed * (load / speed / self.ideal).powi(POWER)
    }

    /// The mean.
    pub(super) fn value(&self) -> f64 {
        (self.sum / self.weight).powf(1.0 / f64::from(POWER))
    }

    /// Accounts for a rank's change of load.
    pub(super) fn change(&mut self, from: f64, to: f64, speed: f64) {
        self.sum += self.term(to, speed) - self.term(from, speed);
    }
}
