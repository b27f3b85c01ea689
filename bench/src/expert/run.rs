use std::fs;
use std::path::Path;

use displaydoc::Display;
use ebonyusher::group::{GroupWeights, PlannerOptions};
use thiserror::Error;

use super::plot::{Series, draw};
use super::policy::{FullReplan, PlannerPolicy, StaticMap};
use super::simulation::{Simulation, SimulationOutcome};
use super::{
    ExpertOptions, ExpertReport, Trace, TraceError, TraceHeader, TraceSource, generate_trace,
    read_trace,
};

/// Steps between plans of the oracle. Its moves are instant and free, so its result is a bound that
/// no policy whose moves have a cost is expected to beat.
const ORACLE_INTERVAL: usize = 10;
/// Experts per layer of a generated trace.
const EXPERTS: usize = 256;
/// Bytes of the weights of one expert of a generated trace.
const EXPERT_BYTES: u64 = 44_040_192;
/// Duration of a step of a generated trace.
const STEP_MS: f64 = 40.0;

/// Largest skew that a plot shows; larger values are clipped.
const MAX_PLOTTED_SKEW: f64 = 4.0;
const GIGABYTE: f64 = 1e9;
/// Values of [`PlannerOptions::min_gain`] for the curve.
const CURVE_MIN_GAINS: [f64; 7] = [2e-4, 8e-4, 2e-3, 5e-3, 1e-2, 2e-2, 5e-2];

/// Why an experiment failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ExpertError {
    /// {0}
    Trace(#[from] TraceError),
    /// can't write {0}: {1}
    Write(String, String),
}

/// Runs every policy on one trace.
///
/// # Errors
/// [`ExpertError`] if the trace can't be read or a file can't be written.
pub fn run(options: &ExpertOptions) -> Result<ExpertReport, ExpertError> {
    let trace = trace(options)?;
    if let Some(path) = &options.write {
        fs::write(path, trace.to_text()).map_err(|err| write_error(path, &err.to_string()))?;
        return Ok(ExpertReport::default());
    }
    let (skew, moves) = (options.skew_weight, options.move_weight);
    let shape = trace.header.shape();
    let weights = GroupWeights { skew, moves };
    let defaults = PlannerOptions::default();
    let min_gain = options.min_gain.unwrap_or(defaults.min_gain);
    let typical_excess = options.typical_excess.unwrap_or(defaults.typical_excess);
    let planner_options = PlannerOptions { weights, min_gain, typical_excess, ..defaults };
    let planner = PlannerPolicy::new(shape, planner_options, options.interval);
    let mbps = options.store_mbps;
    let outcomes = [
        ("static", Simulation::new(&trace, StaticMap, mbps).run(skew, moves)),
        ("full", Simulation::new(&trace, FullReplan::new(shape), mbps).run(skew, moves)),
        (
            "oracle",
            Simulation::new(&trace, FullReplan::oracle(shape, ORACLE_INTERVAL), mbps)
                .run(skew, moves),
        ),
        ("ebonyusher", Simulation::new(&trace, planner, mbps).run(skew, moves)),
    ];
    if let Some(path) = &options.plot {
        plot(path, &trace, &outcomes)?;
    }
    if let Some(path) = &options.curve {
        let planner = min_gain_curve(&trace, options);
        plot_curve(path, &outcomes, planner)?;
    }
    let policies =
        outcomes.into_iter().map(|(name, outcome)| (name.to_owned(), outcome.report)).collect();
    Ok(ExpertReport { policies })
}

fn trace(options: &ExpertOptions) -> Result<Trace, ExpertError> {
    match &options.source {
        TraceSource::File(path) => Ok(read_trace(path)?),
        TraceSource::Generated(kind) => {
            let header = TraceHeader {
                ranks: options.ranks,
                experts: EXPERTS,
                slots: options.slots,
                layers: options.layers,
                expert_bytes: EXPERT_BYTES,
                step_ms: STEP_MS,
            };
            Ok(generate_trace(*kind, header, options.steps, options.seed))
        }
    }
}

fn plot(
    path: &Path,
    trace: &Trace,
    outcomes: &[(&str, SimulationOutcome)],
) -> Result<(), ExpertError> {
    let seconds = |step: usize| step as f64 * trace.header.step_ms / 1e3;
    let series: Vec<Series<'_>> = outcomes
        .iter()
        .map(|(name, outcome)| Series {
            name,
            points: outcome
                .step_skews
                .iter()
                .enumerate()
                .map(|(step, skew)| (seconds(step), skew.min(MAX_PLOTTED_SKEW)))
                .collect(),
        })
        .collect();
    draw(path, ("seconds", "skew (clipped at 4)"), &series, false)
        .map_err(|reason| write_error(path, &reason))
}

/// Returns gigabytes moved and settled skew for each of [`CURVE_MIN_GAINS`].
fn min_gain_curve(trace: &Trace, options: &ExpertOptions) -> Vec<(f64, f64)> {
    let weights = GroupWeights { skew: options.skew_weight, moves: options.move_weight };
    let point = |min_gain: f64| {
        let planner_options = PlannerOptions { weights, min_gain, ..PlannerOptions::default() };
        let planner = PlannerPolicy::new(trace.header.shape(), planner_options, options.interval);
        let sim = Simulation::new(trace, planner, options.store_mbps);
        curve_point(&sim.run(options.skew_weight, options.move_weight))
    };
    CURVE_MIN_GAINS.into_iter().map(point).collect()
}

fn curve_point(outcome: &SimulationOutcome) -> (f64, f64) {
    (outcome.report.moved_bytes as f64 / GIGABYTE, outcome.report.settled_skew)
}

fn plot_curve(
    path: &Path,
    outcomes: &[(&str, SimulationOutcome)],
    planner: Vec<(f64, f64)>,
) -> Result<(), ExpertError> {
    let mut series: Vec<Series<'_>> = outcomes
        .iter()
        .filter(|(name, _)| *name != "ebonyusher")
        .map(|(name, outcome)| {
            let (moved, skew) = curve_point(outcome);
            Series { name, points: vec![(moved, skew.min(MAX_PLOTTED_SKEW))] }
        })
        .collect();
    series.push(Series { name: "ebonyusher", points: planner });
    let axes = ("gigabytes moved (oracle: free)", "settled skew (clipped at 4)");
    draw(path, axes, &series, true).map_err(|reason| write_error(path, &reason))
}

fn write_error(path: &Path, reason: &str) -> ExpertError {
    ExpertError::Write(path.display().to_string(), reason.to_owned())
}
