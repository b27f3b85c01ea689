use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::{
    AccountShares, Basis, Decision, LoadEstimate, Offer, OwnTrend, Priorities, ReturnSchedule,
    SmoothedShare,
};
use crate::direct::{Admission, EngineLoad};

/// Upper bound of the reserve, as a part of the capacity. Urgent requests that run are counted as
/// load as well, so a larger reserve would hold back what they leave unused.
const MAX_RESERVE: f64 = 0.25;
/// Minimum difference, in requests per engine, between the reserves of adjacent priorities. It is
/// about the error of the estimated load.
const RESERVE_STEP: f64 = 1.0;
/// Exponent of the rank among the priorities in the bound of the reserve. Above 1, so that a burst of
/// the least urgent priority leaves a margin to the next one.
const RESERVE_EXPONENT: f64 = 1.5;
/// Further reserve, as a part of the capacity, for each part of the more urgent requests that is
/// refused.
const REFUSED_GAIN: f64 = 2.0;
/// Upper bound of that reserve, as a part of the capacity.
const MAX_REFUSED_RESERVE: f64 = 0.25;
/// Difference, in requests per engine, between the load at which all requests of a less urgent
/// priority are admitted and that at which none is.
const ADMISSION_BAND: f64 = 1.5;
/// Upper bound of the part of the reaction time that is due to the age of reports. Entries with few
/// requests have old reports, and would otherwise admit less of the same kind than others.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Part of the freed capacity that is given to returning callers; new ones take the rest.
const RETURN_PART: f64 = 0.35;
/// Minimum part of the freed capacity on which the schedule of returns is based.
const MIN_RETURN_PART: f64 = 0.1;

/// Admission of the requests of a service at one entry, by priority and client account.
#[derive(Debug, Default)]
pub struct PriorityAdmission {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    priorities: Priorities,
    accounts: AccountShares,
    schedule: ReturnSchedule,
    trend: OwnTrend,
    /// Share of this entry in the load of the service.
    share: SmoothedShare,
}

impl PriorityAdmission {
    /// Records the arrival of a request, once for all groups. `own_requests` is the number of this
    /// entry's requests in flight, and `share` its share of the load of the service, if known now.
    pub fn record_arrival(
        &self,
        offer: &Offer,
        own_requests: u32,
        share: Option<f64>,
        now: Instant,
    ) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.priorities.record_arrival(offer, now);
        state.accounts.record_arrival(offer, now);
        state.trend.record(own_requests, now);
        if let Some(share) = share {
            state.record_share(share, now);
        }
    }

    /// Decides whether a group admits a request that has been recorded. Records nothing, so that
    /// several groups can be asked.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::admission::{LoadEstimate, Offer, PriorityAdmission};
    /// # use ebonyusher::direct::{Engine, EngineLoad, LatencyTargets};
    /// # use tokio::time::Instant;
    /// # let engine = Engine {
    /// #     slots: 10,
    /// #     step: Duration::from_millis(6),
    /// #     per_request: Duration::from_micros(350),
    /// #     stride: 5,
    /// #     read_per_s: 61_200.0,
    /// #     experts: None,
    /// # };
    /// # let engine_load = EngineLoad {
    /// #     engine,
    /// #     mean: 10.0,
    /// #     min: 10.0,
    /// #     gap: None,
    /// #     stream_duration: None,
    /// #     own_requests: 10,
    /// #     learned_capacity: None,
    /// #     inactive_for: None,
    /// # };
    /// let admission = PriorityAdmission::default();
    /// let targets = LatencyTargets { first_byte: Duration::from_millis(400), gap: None };
    /// let urgent = Offer { priority: 0, account: None, targets, work: 1.0, draw: 0.5 };
    /// let bulk = Offer { priority: 2, ..urgent };
    /// let now = Instant::now();
    /// (0..20).for_each(|_| admission.record_arrival(&urgent, 10, None, now));
    /// admission.record_arrival(&bulk, 10, None, now);
    /// let load = LoadEstimate::new(engine_load, &[], &[10.0], 1);
    /// assert!(admission.decide(&urgent, &load, now).is_admitted);
    /// assert!(!admission.decide(&bulk, &load, now).is_admitted);
    /// ```
    pub fn decide(&self, offer: &Offer, load: &LoadEstimate, now: Instant) -> Decision {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).decide(offer, load, now)
    }

    /// Records that a request was admitted.
    pub fn record_admitted(&self, offer: &Offer, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.priorities.record_admitted(offer, now);
        state.accounts.record_admitted(offer, now);
    }

    /// Records that a request was refused, and returns after which time its caller is to return.
    /// `draw` is a random number from 0 to 1.
    pub fn refuse(
        &self,
        offer: &Offer,
        load: &LoadEstimate,
        decision: &Decision,
        draw: f64,
        now: Instant,
    ) -> Duration {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let basis = &decision.basis;
        // An account is refused only where others need the queue, so the overload lasts as well.
        if basis.is_overload || (basis.is_over && !basis.is_single) {
            state.priorities.record_overload(offer, now);
        }
        if basis.is_single || basis.is_stalled {
            return decision.wait;
        }
        let engines = load.service_engines as f64;
        let slot_time = load.engine_load.slot_time(basis.capacity);
        let freed = state.share.get().unwrap_or(1.0) * engines / slot_time.as_secs_f64().max(1e-3);
        let urgent_rate = state.priorities.urgent_rate(offer.priority, now);
        let rate = ((freed - urgent_rate) * RETURN_PART).max(freed * MIN_RETURN_PART);
        let wait = slot_time.mul_f64((basis.ahead() - basis.queue).max(0.0));
        state.schedule.enqueue(offer.priority, wait, rate, draw, now)
    }
}

impl State {
    fn record_share(&mut self, share: f64, now: Instant) {
        let asked_per_admitted = self.priorities.asked_per_admitted(now);
        let is_overloaded = self.priorities.is_any_overloaded(now);
        self.share.record(share, asked_per_admitted, is_overloaded, now);
    }

    fn decide(&mut self, offer: &Offer, load: &LoadEstimate, now: Instant) -> Decision {
        let is_single = self.priorities.is_single(offer.priority, now);
        let is_urgent = self.priorities.is_most_urgent(offer.priority, now);
        let mut basis = Basis { is_single, ..self.basis(offer, load, is_urgent, now) };
        let engine_load = &load.engine_load;
        let mut admission = if is_urgent {
            engine_load.decide(&offer.targets)
        } else {
            self.decide_less_urgent(offer, load, &basis, now)
        };
        if basis.is_stalled {
            return Decision::new(admission, basis);
        }
        basis.is_overload = admission != Admission::Admit;
        // The queue is for the accounts within their share.
        if !basis.is_overload
            && basis.ahead() > 0.0
            && self.priorities.is_overloaded(offer.priority, now)
        {
            basis.is_over = self.accounts.is_over(offer, is_single, now);
        }
        if basis.is_over {
            admission = Admission::Refuse(engine_load.retry_after(basis.ahead(), basis.capacity));
        }
        Decision::new(admission, basis)
    }

    /// Admits by the capacity less the reserve, or by the limits of the most urgent priority if this
    /// one is starved.
    fn decide_less_urgent(
        &self,
        offer: &Offer,
        load: &LoadEstimate,
        basis: &Basis,
        now: Instant,
    ) -> Admission {
        let engine_load = &load.engine_load;
        let targets = self.priorities.tightest_targets(offer, now);
        let as_urgent = engine_load.decide(&targets);
        if as_urgent != Admission::Admit {
            return as_urgent;
        }
        let ahead = basis.ahead();
        let limit = basis.queue - ADMISSION_BAND * self.rank_part(offer, now) * offer.draw;
        if ahead <= limit.max(0.0) || self.priorities.is_starved(offer.priority, now) {
            return Admission::Admit;
        }
        Admission::Refuse(engine_load.retry_after(ahead - basis.queue, basis.capacity))
    }

    /// Gathers the inputs of a decision. The results of the decision are not set.
    fn basis(&self, offer: &Offer, load: &LoadEstimate, is_urgent: bool, now: Instant) -> Basis {
        let engine_load = &load.engine_load;
        let targets = self.priorities.tightest_targets(offer, now);
        let capacity = engine_load.capacity(&targets);
        let slot_time = engine_load.slot_time(capacity);
        let share = self.share.get();
        let urgent_rate = self.priorities.urgent_rate(offer.priority, now);
        let demand = urgent_rate / share.unwrap_or(1.0) / load.service_engines.max(1) as f64;
        let reaction = load.report_age.unwrap_or_default().min(MAX_REPORT_AGE) + slot_time;
        // The most urgent priority is decided by the least loaded engine, the others by the mean.
        let (level, added, reserve) = if is_urgent {
            (engine_load.min, 1.0, 0.0)
        } else {
            let level = load.projected_level(self.trend.growth(), share);
            let added = 1.0 / load.engines.max(1) as f64;
            (level, added, self.reserve(offer, demand, reaction, capacity, now))
        };
        Basis {
            capacity,
            reserve,
            demand,
            queue: EngineLoad::max_wait(&targets).as_secs_f64() / slot_time.as_secs_f64().max(1e-6),
            level,
            added,
            is_over: false,
            is_single: false,
            is_overload: false,
            is_stalled: engine_load.is_stalled(),
        }
    }

    /// Returns the capacity that is kept for more urgent requests. It grows while they are refused.
    fn reserve(
        &self,
        offer: &Offer,
        demand: f64,
        reaction: Duration,
        capacity: f64,
        now: Instant,
    ) -> f64 {
        let (rank, _) = self.priorities.rank(offer.priority, now);
        let rank_part = self.rank_part(offer, now).powf(RESERVE_EXPONENT);
        let max_reserve = capacity * MAX_RESERVE * rank_part;
        let min_reserve = (RESERVE_STEP * rank as f64).min(max_reserve);
        let refused = self.priorities.refused_part(offer.priority, now);
        (demand * reaction.as_secs_f64()).clamp(min_reserve, max_reserve)
            + capacity * (REFUSED_GAIN * refused).min(MAX_REFUSED_RESERVE)
    }

    /// Returns the rank among the priorities seen, from 0 for the most urgent to 1 for the least.
    fn rank_part(&self, offer: &Offer, now: Instant) -> f64 {
        let (rank, lowest) = self.priorities.rank(offer.priority, now);
        rank as f64 / lowest.max(1) as f64
    }
}
