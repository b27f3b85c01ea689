use std::time::Instant;

use ebonyusher::group::ExpertMap;

use super::policy::{MapPolicy, Switch};
use super::{PolicyReport, Trace};

/// Steps of transfer time that one plan may use.
const BUDGET_STEPS: f64 = 10.0;
const MEGABYTE: f64 = 1e6;
const MILLIS_PER_SECOND: f64 = 1e3;

/// Simulation of one policy on a trace.
pub struct Simulation<'a, P> {
    trace: &'a Trace,
    policy: P,
    /// Experts that the store can move in one step.
    experts_per_step: f64,
    map: ExpertMap,
    /// Map of the switch under way, and the step at which it takes effect.
    pending: Option<(usize, ExpertMap)>,
    speeds: Vec<f64>,
    skews: Vec<f64>,
    fetches: usize,
    switches: u64,
    plan_micros: Vec<u64>,
}

/// Result of one policy.
#[derive(Clone, Debug)]
pub struct SimulationOutcome {
    /// Report.
    pub report: PolicyReport,
    /// Mean skew over the layers, by step.
    pub step_skews: Vec<f64>,
}

impl<'a, P: MapPolicy> Simulation<'a, P> {
    /// Returns a simulation at the start of the trace, with the initial map.
    pub fn new(trace: &'a Trace, policy: P, store_mbps: f64) -> Self {
        let header = &trace.header;
        let bytes = store_mbps * MEGABYTE * header.step_ms / MILLIS_PER_SECOND;
        Self {
            trace,
            policy,
            experts_per_step: bytes / header.expert_bytes as f64,
            map: ExpertMap::initial(&header.shape()),
            pending: None,
            speeds: vec![1.0; header.ranks],
            skews: Vec::new(),
            fetches: 0,
            switches: 0,
            plan_micros: Vec::new(),
        }
    }

    /// Runs the whole trace and returns the result.
    pub fn run(mut self, skew_weight: f64, move_weight: f64) -> SimulationOutcome {
        let trace = self.trace;
        for (step_index, step) in trace.steps.iter().enumerate() {
            if self.pending.as_ref().is_some_and(|(from, _)| *from <= step_index) {
                let pending = self.pending.take();
                self.map = pending.map_or_else(|| self.map.clone(), |(_, map)| map);
            }
            if let Some(speeds) = &step.speeds {
                self.speeds.clone_from(speeds);
            }
            for (layer, tokens) in step.tokens.iter().enumerate() {
                self.step(layer, tokens);
            }
            if self.pending.is_none() {
                self.plan(step_index);
            }
        }
        self.finish(skew_weight, move_weight)
    }

    fn step(&mut self, layer: usize, tokens: &[f64]) {
        let loads = self.map.layers[layer].loads(tokens);
        let times: Vec<f64> =
            loads.iter().zip(&self.speeds).map(|(load, speed)| load / speed).collect();
        let slowest = times.iter().copied().fold(0.0, f64::max);
        let ideal = loads.iter().sum::<f64>() / self.speeds.iter().sum::<f64>();
        self.skews.push(if ideal > 0.0 { (slowest / ideal).max(1.0) } else { 1.0 });
        self.policy.observe(layer, tokens, &loads, &times);
    }

    fn plan(&mut self, step: usize) {
        let budget = (self.experts_per_step * BUDGET_STEPS).max(2.0) as usize;
        let began = Instant::now();
        let planned = self.policy.plan(step, &self.map, budget);
        self.plan_micros.push(began.elapsed().as_micros() as u64);
        let Some(Switch { map, fetches }) = planned else {
            return;
        };
        self.switches += 1;
        if self.policy.is_free() {
            self.map = map;
            return;
        }
        self.fetches += fetches;
        let transfer = (fetches as f64 / self.experts_per_step).ceil() as usize;
        self.pending = Some((step + transfer.max(1) + 1, map));
    }

    fn finish(mut self, skew_weight: f64, move_weight: f64) -> SimulationOutcome {
        let header = &self.trace.header;
        let steps = self.trace.steps.len();
        let step_skews: Vec<f64> = self.skews.chunks(header.layers).map(mean).collect();
        let settled = &step_skews[steps - steps.div_ceil(4)..];
        let settled_skew = mean(settled);
        let mean_skew = mean(&step_skews);
        let fetched = self.fetches as f64 / (steps * header.layers * header.experts) as f64;
        self.skews.sort_by(f64::total_cmp);
        self.plan_micros.sort_unstable();
        let report = PolicyReport {
            mean_skew,
            settled_skew,
            p99_skew: at_quantile(&self.skews, 0.99).unwrap_or(1.0),
            moved_bytes: self.fetches as u64 * header.expert_bytes,
            switches: self.switches,
            plan_p99_us: at_quantile(&self.plan_micros, 0.99).unwrap_or(0),
            objective: skew_weight * (mean_skew - 1.0) + move_weight * fetched,
        };
        SimulationOutcome { report, step_skews }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn at_quantile<T: Copy>(sorted: &[T], quantile: f64) -> Option<T> {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().checked_sub(1)?)).copied()
}
