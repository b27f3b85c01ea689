use crate::capacity::RequestSize;
use crate::direct::Engine;

/// Smoothing factor of the means.
const SMOOTHING: f64 = 0.02;
/// Bounds of the work of a request, in usual requests.
const WORK_RANGE: (f64, f64) = (0.25, 4.0);
/// Maximum of a number of tokens that is recorded.
const MAX_TOKENS: f64 = 1e6;

/// Estimates the work of the requests of a route, in units of its usual request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkEstimator {
    /// Mean number of prompt tokens, of requests that state it.
    prompt: Option<f64>,
    /// Mean number of output tokens.
    output: Option<f64>,
}

impl WorkEstimator {
    /// Records a complete stream with so many events.
    pub fn record(&mut self, size: &RequestSize, events: u32, engine: &Engine) {
        let output = f64::from(events) * f64::from(engine.stride);
        smooth(&mut self.output, output);
        if let Some(prompt) = size.prompt {
            smooth(&mut self.prompt, f64::from(prompt));
        }
    }

    /// Returns the work of a request. It is 1 if the request states no sizes, or nothing is recorded.
    ///
    /// A length hint makes a request count for more than the usual answer, never for less.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::capacity::{RequestSize, WorkEstimator};
    /// # use ebonyusher::direct::Engine;
    /// # let (step, per_request) = (Duration::from_millis(6), Duration::from_micros(400));
    /// # let engine = Engine { slots: 10, step, per_request, stride: 6, read_per_s: 60_000.0, experts: None };
    /// let mut work = WorkEstimator::default();
    /// work.record(&RequestSize::default(), 20, &engine);
    /// let hinted = |tokens| RequestSize { length_hint: Some(tokens), ..RequestSize::default() };
    /// assert_eq!(work.work(&hinted(1), &engine), 1.0);
    /// assert!(work.work(&hinted(480), &engine) > 1.5);
    /// ```
    pub fn work(&self, size: &RequestSize, engine: &Engine) -> f64 {
        let Some(usual_output) = self.output else {
            return 1.0;
        };
        let usual_prompt = self.prompt.unwrap_or_default();
        let prompt = size.prompt.filter(|_| self.prompt.is_some()).map_or(usual_prompt, f64::from);
        // Hints are often far off, so they count on the logarithmic scale by half.
        let hinted = size.length_hint.map_or(0.0, |hint| (f64::from(hint) * usual_output).sqrt());
        let max_output = size.max_output.map_or(f64::INFINITY, f64::from);
        let output = usual_output.max(hinted).min(max_output);
        let usual = engine_seconds(usual_prompt, usual_output, engine);
        let work = engine_seconds(prompt, output, engine) / usual;
        if work.is_finite() { work.clamp(WORK_RANGE.0, WORK_RANGE.1) } else { 1.0 }
    }
}

/// Returns for how long a request occupies an engine that is half full.
fn engine_seconds(prompt: f64, output: f64, engine: &Engine) -> f64 {
    let step = engine.step + engine.per_request * (engine.slots / 2);
    prompt / engine.read_per_s.max(1.0) + output * step.as_secs_f64()
}

fn smooth(mean: &mut Option<f64>, sample: f64) {
    let sample = sample.min(MAX_TOKENS);
    let before = mean.unwrap_or(sample);
    *mean = Some(before + SMOOTHING * (sample - before));
}
