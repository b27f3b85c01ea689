use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// Time after which a report of load counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Requests by which a farther upstream must be less loaded to be chosen.
const DISTANCE_COST: f64 = 0.4;

/// What an upstream reported of the requests that other entries sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OthersReport {
    /// Requests of others that ran or waited.
    pub requests: f64,
    /// Age of the report.
    pub age: Duration,
}

/// What choosing sees of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Requests of this entry in flight there.
    pub own: u32,
    /// The last report, if there was one.
    pub others: Option<OthersReport>,
    /// Until when it is better left alone.
    pub rests_until: Option<Instant>,
}

/// Estimated requests at each upstream. An old report counts less than what the others' reports
/// say on average, and that the less the older the newest of them is.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::direct::{OthersReport, View, loads};
/// let fresh = OthersReport { requests: 4.0, age: Duration::ZERO };
/// let told = View { own: 1, others: Some(fresh), rests_until: None };
/// let silent = View { others: None, ..told };
/// assert_eq!(loads(&[told, silent])[..], [5.0, 5.0]);
/// ```
pub fn loads(views: &[View]) -> SmallVec<[f64; 16]> {
    let trust = |report: &OthersReport| {
        0.5_f64.powf(report.age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
    };
    let reports = || views.iter().filter_map(|view| view.others);
    let weight: f64 = reports().map(|report| trust(&report)).sum();
    let sum: f64 = reports().map(|report| trust(&report) * report.requests).sum();
    // Without any fresh report the others' requests are forgotten: only a request that is sent
    // brings a new report.
    let newest = reports().map(|report| trust(&report)).fold(0.0, f64::max);
    let mean = if weight > 0.0 { newest * sum / weight } else { 0.0 };
    let load = |view: &View| {
        let others = view.others.map_or(mean, |report| {
            let trust = trust(&report);
            trust * report.requests + (1.0 - trust) * mean
        });
        f64::from(view.own) + others
    };
    views.iter().map(load).collect()
}

/// Chooses the upstream with the fewest requests, those that rest only if all do, and then the one
/// whose rest ends first. `near` tells which are in the entry's own failure domain, `draw` breaks
/// ties by a random number for each.
///
/// ```
/// # use ebonyusher::direct::{View, choose};
/// let idle = View { own: 0, others: None, rests_until: None };
/// let busy = View { own: 5, ..idle };
/// assert_eq!(choose(&[busy, idle], &[5.0, 0.0], |_| false, |_| 0.0), Some(1));
/// assert_eq!(choose(&[], &[], |_| false, |_| 0.0), None);
/// ```
pub fn choose(
    views: &[View],
    loads: &[f64],
    near: impl Fn(usize) -> bool,
    draw: impl Fn(usize) -> f64,
) -> Option<usize> {
    let awake = (0..views.len()).filter(|at| views[*at].rests_until.is_none());
    let cost = |at: usize| {
        let distance = if near(at) { 0.0 } else { DISTANCE_COST };
        loads[at] + distance + draw(at)
    };
    let best = awake.map(|at| (cost(at), at)).min_by(|left, right| left.0.total_cmp(&right.0));
    if let Some((_, at)) = best {
        return Some(at);
    }
    (0..views.len()).min_by_key(|at| views[*at].rests_until)
}
