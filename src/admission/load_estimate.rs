use std::time::Duration;

use crate::direct::{Candidate, EngineLoad};

/// Load of an engine, as a multiple of its slots, above which more requests there don't count. A
/// few overloaded engines must not hide the free slots of the others.
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
        let max_load = f64::from(engine_load.engine.slots) * MAX_COUNTED_LOAD;
        let level = loads.iter().map(|load| load.min(max_load)).sum::<f64>();
        let ages = || candidates.iter().filter_map(|candidate| candidate.others).map(|it| it.age);
        let weigh = |age: Duration| 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE_S);
        let weight: f64 = ages().map(weigh).sum();
        let sum: f64 = ages().map(|age| weigh(age) * age.as_secs_f64()).sum();
        let reports = || candidates.iter().filter_map(|candidate| candidate.others);
        let others: f64 = reports().map(|report| weigh(report.age) * report.requests).sum();
        let others = if weight > 0.0 { others / weight } else { 0.0 };
        let count = loads.len().max(1) as f64;
        let decay = 1.0 - ages().map(weigh).fold(0.0, f64::max);
        let report_age = (weight > 0.0).then(|| Duration::from_secs_f64(sum / weight));
        Self {
            engine_load,
            level: level / count,
            hidden: decay * others * (1.0 - weight / count).max(0.0),
            engines: loads.len(),
            service_engines,
            report_age,
            newest_report: ages().min(),
        }
    }

    /// Returns the estimated load per engine. `growth` is the growth of the own requests in flight
    /// within the time by which the reports lag, and `share` this entry's share of the load.
    ///
    /// Without fresh reports, the load follows from the own requests and the share alone.
    pub fn projected_level(&self, growth: f64, share: Option<f64>) -> f64 {
        let max_load = f64::from(self.engine_load.engine.slots) * MAX_COUNTED_LOAD;
        let (Some(share), Some(newest)) = (share, self.newest_report) else {
            return (self.level * growth).min(max_load);
        };
        let reported = ((self.level + self.hidden) * growth).min(max_load);
        let own = f64::from(self.engine_load.own_requests);
        let implied = (own / share / self.engines.max(1) as f64).min(max_load);
        let stale_for = newest.saturating_sub(FRESH_FOR).as_secs_f64();
        let report_weight = 0.5_f64.powf(stale_for / REPORT_HALF_LIFE_S);
        report_weight * reported + (1.0 - report_weight) * implied
    }
}
