use serde::{Deserialize, Serialize};

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Point {
    /// The quantity that was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// Straight line fitted to measurements.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Slope {
    /// Name by which the capacity page refers to it.
    pub name: String,
    /// The quantity that was varied.
    pub x: String,
    /// What was measured, with its unit.
    pub y: String,
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// Value of `y` where `x` is 0.
    pub intercept: f64,
    /// Root mean square error of the fit, relative to the mean of `y`.
    pub error: f64,
    /// The measurements.
    pub points: Vec<Point>,
}

/// All slopes of one run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlopeFile {
    /// The slopes.
    pub slopes: Vec<Slope>,
}

impl Slope {
    /// Fits a line by least squares.
    ///
    /// ```
    /// # use ebonyusher_bench::slopes::{Point, Slope};
    /// let points = vec![Point { x: 1.0, y: 5.0 }, Point { x: 3.0, y: 9.0 }];
    /// let slope = Slope::fit("name", "x", "y", points);
    /// assert_eq!((slope.slope, slope.intercept), (2.0, 3.0));
    /// ```
    pub fn fit(name: &str, x: &str, y: &str, points: Vec<Point>) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.x), mean(|point| point.y));
        let sum_xx: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let squared_error: f64 =
            points.iter().map(|point| (point.y - intercept - slope * point.x).powi(2)).sum();
        let error = if mean_y == 0.0 { 0.0 } else { (squared_error / count).sqrt() / mean_y.abs() };
        let (name, x, y) = (name.to_owned(), x.to_owned(), y.to_owned());
        Self { name, x, y, slope, intercept, error, points }
    }

    /// Returns the value of the line at `x`, at least 0.
    pub fn at(&self, x: f64) -> f64 {
        (self.intercept + self.slope * x).max(0.0)
    }
}

impl SlopeFile {
    /// Returns a slope by name.
    pub fn get(&self, name: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.name == name)
    }
}
