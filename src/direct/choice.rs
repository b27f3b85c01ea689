use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// Time after which a report of load counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Requests by which a farther upstream must be less loaded to be chosen.
const REMOTE_PENALTY: f64 = 0.4;

/// What an upstream reported of the requests that other entries sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OtherEntriesLoad {
    /// Requests of others that ran or waited.
    pub requests: f64,
    /// Age of the report.
    pub age: Duration,
}

/// What choosing sees of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of this entry in flight there.
    pub own: u32,
    /// The last report, if there was one.
    pub others: Option<OtherEntriesLoad>,
    /// Until when it is better left alone.
    pub avoid_until: Option<Instant>,
}

/// Estimated requests at each upstream. An old report counts less than what the others' reports
/// say on average, and that the less the older the newest of them is.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::direct::{Candidate, OtherEntriesLoad, estimate_loads};
/// let fresh = OtherEntriesLoad { requests: 4.0, age: Duration::ZERO };
/// let reported = Candidate { own: 1, others: Some(fresh), avoid_until: None };
/// let unreported = Candidate { others: None, ..reported };
/// assert_eq!(estimate_loads(&[reported, unreported])[..], [5.0, 5.0]);
/// ```
pub fn estimate_loads(candidates: &[Candidate]) -> SmallVec<[f64; 16]> {
    let weight_of = |report: &OtherEntriesLoad| {
        0.5_f64.powf(report.age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
    };
    let reports = || candidates.iter().filter_map(|candidate| candidate.others);
    let total_weight: f64 = reports().map(|report| weight_of(&report)).sum();
    let sum: f64 = reports().map(|report| weight_of(&report) * report.requests).sum();
    // Without any fresh report the others' requests are forgotten: only a request that is sent
    // brings a new report.
    let newest_weight = reports().map(|report| weight_of(&report)).fold(0.0, f64::max);
    let mean = if total_weight > 0.0 { newest_weight * sum / total_weight } else { 0.0 };
    let load = |candidate: &Candidate| {
        let others = candidate.others.map_or(mean, |report| {
            let weight = weight_of(&report);
            weight * report.requests + (1.0 - weight) * mean
        });
        f64::from(candidate.own) + others
    };
    candidates.iter().map(load).collect()
}

/// Chooses the upstream with the fewest requests, those that rest only if all do, and then the one
/// whose rest ends first. `near` tells which are in the entry's own failure domain, `draw` breaks
/// ties by a random number for each.
///
/// ```
/// # use ebonyusher::direct::{Candidate, choose};
/// let idle = Candidate { own: 0, others: None, avoid_until: None };
/// let busy = Candidate { own: 5, ..idle };
/// assert_eq!(choose(&[busy, idle], &[5.0, 0.0], |_| false, |_| 0.0), Some(1));
/// assert_eq!(choose(&[], &[], |_| false, |_| 0.0), None);
/// ```
pub fn choose(
    candidates: &[Candidate],
    loads: &[f64],
    is_local: impl Fn(usize) -> bool,
    tie_break: impl Fn(usize) -> f64,
) -> Option<usize> {
    let available = (0..candidates.len()).filter(|at| candidates[*at].avoid_until.is_none());
    let cost = |at: usize| {
        let penalty = if is_local(at) { 0.0 } else { REMOTE_PENALTY };
        loads[at] + penalty + tie_break(at)
    };
    let best = available.map(|at| (cost(at), at)).min_by(|left, right| left.0.total_cmp(&right.0));
    if let Some((_, at)) = best {
        return Some(at);
    }
    (0..candidates.len()).min_by_key(|at| candidates[*at].avoid_until)
}
