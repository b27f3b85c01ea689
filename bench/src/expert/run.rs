use std::fs;
use std::path::Path;

use displaydoc::Display;
use ebonyusher::group::{GroupWeights, PlannerOptions};
use thiserror::Error;

use super::plot::{Series, draw};
use super::policy::{Full, Own, Static};
use super::sim::{Outcome, Sim};
use super::{ExpertOptions, ExpertReport, Header, Source, Trace, TraceError, make, read};

/// Steps between plans of the bound that no policy with costs is expected to beat.
const ORACLE_INTERVAL: usize = 10;
/// Experts of a made trace.
const EXPERTS: usize = 256;
/// Size of one expert of a made trace.
const EXPERT_BYTES: u64 = 44_040_192;
/// Time of a step of a made trace.
const STEP_MS: f64 = 40.0;

/// Greatest skew that a plot shows.
const MOST_SKEW: f64 = 4.0;
const GIGABYTE: f64 = 1e9;
/// Prices of a move in the curve, as least gains.
const PRICES: [f64; 7] = [2e-4, 8e-4, 2e-3, 5e-3, 1e-2, 2e-2, 5e-2];

/// Why an experiment could not be made.
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
    let usual = PlannerOptions::default();
    let least_gain = options.least_gain.unwrap_or(usual.min_gain);
    let usual_excess = options.usual_excess.unwrap_or(usual.typical_excess);
    let tuned =
        PlannerOptions { weights, min_gain: least_gain, typical_excess: usual_excess, ..usual };
    let own = Own::new(shape, tuned, options.interval);
    let mbps = options.store_mbps;
    let outcomes = [
        ("static", Sim::new(&trace, Static, mbps).run(skew, moves)),
        ("full", Sim::new(&trace, Full::new(shape), mbps).run(skew, moves)),
        ("oracle", Sim::new(&trace, Full::oracle(shape, ORACLE_INTERVAL), mbps).run(skew, moves)),
        ("ebonyusher", Sim::new(&trace, own, mbps).run(skew, moves)),
    ];
    if let Some(path) = &options.plot {
        plot(path, &trace, &outcomes)?;
    }
    if let Some(path) = &options.curve {
        let own = prices(&trace, options);
        plot_curve(path, &outcomes, own)?;
    }
    let policies =
        outcomes.into_iter().map(|(name, outcome)| (name.to_owned(), outcome.report)).collect();
    Ok(ExpertReport { policies })
}

fn trace(options: &ExpertOptions) -> Result<Trace, ExpertError> {
    match &options.source {
        Source::File(path) => Ok(read(path)?),
        Source::Made(kind) => {
            let header = Header {
                ranks: options.ranks,
                experts: EXPERTS,
                slots: options.slots,
                layers: options.layers,
                expert_bytes: EXPERT_BYTES,
                step_ms: STEP_MS,
            };
            Ok(make(*kind, header, options.steps, options.seed))
        }
    }
}

fn plot(path: &Path, trace: &Trace, outcomes: &[(&str, Outcome)]) -> Result<(), ExpertError> {
    let seconds = |step: usize| step as f64 * trace.header.step_ms / 1e3;
    let series: Vec<Series<'_>> = outcomes
        .iter()
        .map(|(name, outcome)| Series {
            name,
            points: outcome
                .path
                .iter()
                .enumerate()
                .map(|(at, skew)| (seconds(at), skew.min(MOST_SKEW)))
                .collect(),
        })
        .collect();
    draw(path, ("seconds", "skew, at most 4 shown"), &series, false)
        .map_err(|reason| write_error(path, &reason))
}

/// Settled skew against gigabytes moved, for several prices of a move.
fn prices(trace: &Trace, options: &ExpertOptions) -> Vec<(f64, f64)> {
    let weights = GroupWeights { skew: options.skew_weight, moves: options.move_weight };
    let point = |least_gain: f64| {
        let tuned = PlannerOptions { weights, min_gain: least_gain, ..PlannerOptions::default() };
        let own = Own::new(trace.header.shape(), tuned, options.interval);
        let sim = Sim::new(trace, own, options.store_mbps);
        place(&sim.run(options.skew_weight, options.move_weight))
    };
    PRICES.into_iter().map(point).collect()
}

fn place(outcome: &Outcome) -> (f64, f64) {
    (outcome.report.moved_bytes as f64 / GIGABYTE, outcome.report.settled_skew)
}

fn plot_curve(
    path: &Path,
    outcomes: &[(&str, Outcome)],
    own: Vec<(f64, f64)>,
) -> Result<(), ExpertError> {
    let mut series: Vec<Series<'_>> = outcomes
        .iter()
        .filter(|(name, _)| *name != "ebonyusher")
        .map(|(name, outcome)| {
            let (moved, skew) = place(outcome);
            Series { name, points: vec![(moved, skew.min(MOST_SKEW))] }
        })
        .collect();
    series.push(Series { name: "ebonyusher", points: own });
    let axes = ("gigabytes moved (oracle: free)", "settled skew, at most 4 shown");
    draw(path, axes, &series, true).map_err(|reason| write_error(path, &reason))
}

fn write_error(path: &Path, reason: &str) -> ExpertError {
    ExpertError::Write(path.display().to_string(), reason.to_owned())
}
