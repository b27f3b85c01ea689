use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// Age at which a load report has half its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Sum of the weights of reports from which the load of other entries is known.
const MIN_REPORT_WEIGHT: f64 = 2.0;
/// Number of requests by which an upstream in another failure domain must be less loaded to be
/// chosen.
const REMOTE_PENALTY: f64 = 0.4;

/// Load that other entries put on an upstream, from its last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OtherEntriesLoad {
    /// Requests of other entries, running and waiting.
    pub requests: f64,
    /// Age of the report.
    pub age: Duration,
}

impl OtherEntriesLoad {
    /// Weight of the report by its age, from 0 to 1.
    fn weight(&self) -> f64 {
        0.5_f64.powf(self.age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
    }
}

/// State of an upstream on which the choice is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of this entry in flight at the upstream.
    pub own: u32,
    /// Load from other entries, if the upstream has reported any.
    pub others: Option<OtherEntriesLoad>,
    /// Time until which the upstream is chosen only if no other is available.
    pub avoid_until: Option<Instant>,
}

/// Estimates the number of requests at each upstream.
///
/// The load from other entries is the weighted mean of the upstream's own report, whose weight
/// decays with its age, and of the mean of all reports. That mean is scaled by the weight of the
/// newest report.
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
    let weight_of = OtherEntriesLoad::weight;
    let reports = || candidates.iter().filter_map(|candidate| candidate.others);
    let total_weight: f64 = reports().map(|report| weight_of(&report)).sum();
    let sum: f64 = reports().map(|report| weight_of(&report) * report.requests).sum();
    // Without a fresh report, the load of other entries decays to zero: a new report arrives only
    // in the response to a request, so an old one must not keep requests away.
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

/// Returns this entry's share of a service's load, `None` without enough fresh reports: after a
/// start, an entry knows only its own requests.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::direct::{Candidate, OtherEntriesLoad, load_share};
/// let report = |requests| Some(OtherEntriesLoad { requests, age: Duration::ZERO });
/// let busy = Candidate { own: 1, others: report(3.0), avoid_until: None };
/// let idle = Candidate { own: 0, others: None, avoid_until: None };
/// assert_eq!(load_share(&[busy, busy, busy, idle]), Some(0.2));
/// assert_eq!(load_share(&[busy, idle, idle, idle]), None);
/// ```
pub fn load_share(candidates: &[Candidate]) -> Option<f64> {
    let reports = || candidates.iter().filter_map(|candidate| candidate.others);
    let weight: f64 = reports().map(|report| report.weight()).sum();
    if weight < MIN_REPORT_WEIGHT {
        return None;
    }
    let others = reports().map(|report| report.weight() * report.requests).sum::<f64>() / weight;
    let own: u32 = candidates.iter().map(|candidate| candidate.own).sum();
    let own = f64::from(own) / candidates.len() as f64;
    (own > 0.0).then(|| own / (own + others))
}

/// Chooses the upstream with the lowest estimated load among those that need not be avoided. If all
/// have to be avoided, chooses the one for which that ends first.
///
/// `is_local` returns whether an upstream is in the entry's failure domain. `tie_break` returns a
/// random number for each upstream that breaks ties.
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
