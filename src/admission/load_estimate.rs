use std::time::Duration;

use crate::direct::{Candidate, EngineLoad};

/// Upper bound of the counted load of an engine, as a multiple of its slots. Without it, a few
/// overloaded engines would hide the free slots of the others in the mean.
const MAX_COUNTED_LOAD: f64 = 1.5;
/// Time in which a report loses half its weight, in seconds.
const REPORT_HALF_LIFE_S: f64 = 1.0;
/// Age up to which the newest report counts fully.
const FRESH_FOR: Duration = Duration::from_millis(500);

/// Load of a group of engines as an entry knows it when a request arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Loads and speeds of the engines.
    pub engine_load: EngineLoad,
    /// Mean load, with that of overloaded engines counted up to a limit.
    pub level: f64,
    /// Load that the decay of the newest report hides from the level. Entries with few requests, and
    /// so with few reports, would otherwise admit more than others.
    pub hidden: f64,
    /// Number of engines of the group.
    pub engines: usize,
    /// Number of engines of all groups over which the requests of the service are spread.
    pub service_engines: usize,
    /// Mean age of the reports, weighted like the reports; `None` without any.
    pub report_age: Option<Duration>,
    /// Age of the newest report.
    pub newest_report: Option<Duration>,
}

impl LoadEstimate {
    /// Summarizes the loads of a group's engines. All groups together have `service_engines`.
    pub fn new(
        engine_load: EngineLoad,
        candidates: &[Candidate],
        loads: &[f64],
        service_engines: usize,
    ) -> Self {
        let max_load = max_counted_load(&engine_load);
        let level = loads.iter().map(|load| load.min(max_load)).sum::<f64>();
        let count = loads.len().max(1) as f64;
        let reports = || candidates.iter().filter_map(|candidate| candidate.others);
        let weight: f64 = reports().map(|report| weight_at(report.age)).sum();
        let weigh = |value: f64| if weight > 0.0 { value / weight } else { 0.0 };
        let age: f64 = reports().map(|it| weight_at(it.age) * it.age.as_secs_f64()).sum();
        let others: f64 = reports().map(|it| weight_at(it.age) * it.requests).sum();
        let decay = 1.0 - reports().map(|report| weight_at(report.age)).fold(0.0, f64::max);
        Self {
            engine_load,
            level: level / count,
            hidden: decay * weigh(others) * (1.0 - weight / count).max(0.0),
            engines: loads.len(),
            service_engines,
            report_age: (weight > 0.0).then(|| Duration::from_secs_f64(weigh(age))),
            newest_report: reports().map(|report| report.age).min(),
        }
    }

    /// Returns the estimated load per engine. `growth` is the growth of the own requests in flight
    /// within the time by which the reports lag, and `share` this entry's share of the load.
    ///
    /// Without fresh reports, the load follows from the own requests and the share alone.
    pub fn projected_level(&self, growth: f64, share: Option<f64>) -> f64 {
        let max_load = max_counted_load(&self.engine_load);
        let (Some(share), Some(newest)) = (share, self.newest_report) else {
            return (self.level * growth).min(max_load);
        };
        let reported = ((self.level + self.hidden) * growth).min(max_load);
        let own = f64::from(self.engine_load.own_requests);
        let implied = (own / share / self.engines.max(1) as f64).min(max_load);
        let report_weight = weight_at(newest.saturating_sub(FRESH_FOR));
        report_weight * reported + (1.0 - report_weight) * implied
    }
}

/// Returns the load up to which the requests at an engine count.
fn max_counted_load(engine_load: &EngineLoad) -> f64 {
    f64::from(engine_load.engine.slots) * MAX_COUNTED_LOAD
}

/// Returns the weight of a report of this age.
fn weight_at(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE_S)
}
