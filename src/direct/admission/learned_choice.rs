use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::engine_load::DEFAULT_STREAM_DURATION;
use crate::capacity::{PlainLoad, Rating, SLOW_FACTOR, SentRequest, admit_plain, expected_loads};
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::groups::EligibleGroup;
use crate::direct::upstreams::Measured;
use crate::direct::{Admission, Candidate, Engine};
use crate::outcome::{Reason, Refusal};

/// Passes from the arrival of a request at an idle engine to the end of its first one, on average.
const FIRST_PASSES: f64 = 1.5;
/// Minimum of an expected response time, in seconds.
const MIN_EXPECTED: f64 = 1e-3;
/// Jitter of retry-after times, as a share of them.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// What an entry has learned of the candidates for a request.
#[derive(Debug)]
pub(super) struct LearnedChoice {
    measured: SmallVec<[Measured; 16]>,
    ratings: SmallVec<[Rating; 16]>,
    /// Work of the request, in usual requests.
    work: f64,
}

impl Dispatcher {
    /// Rates the upstreams of a group for a request.
    pub(super) fn rate(
        &self,
        request: &CheckedRequest,
        group: &EligibleGroup<'_>,
        now: Instant,
    ) -> LearnedChoice {
        let state = &group.state.capacity;
        let measured: SmallVec<[Measured; 16]> =
            group.upstreams.iter().map(|upstream| upstream.measured(now)).collect();
        let peaks = measured.iter().filter_map(|measured| measured.speed.recent_peak(now));
        let baseline = state.baseline.get(peaks, now);
        let rate = |measured: &Measured| Rating {
            work: measured.work,
            slowness: measured.speed.slowness(baseline, measured.is_busy, now),
            start_share: measured.slow_start.share(now),
        };
        let ratings: SmallVec<[Rating; 16]> = measured.iter().map(rate).collect();
        if state.is_review_due(now) {
            self.review_speeds(request, group, &ratings, now);
        }
        let work = |engine| state.work(&request.route.name, &request.size, &engine);
        let work = request.service.engine.map_or(1.0, work);
        LearnedChoice { measured, ratings, work }
    }

    /// Refuses a request of a plain service that no upstream can answer before its deadline.
    pub(super) fn admit_plain(
        &self,
        request: &CheckedRequest,
        learned: &LearnedChoice,
        loads: &[f64],
        now: Instant,
    ) -> Result<(), Refusal> {
        if request.service.engine.is_some() {
            return Ok(());
        }
        let left = request.deadline.saturating_duration_since(now);
        let Admission::Refuse(retry_after) = admit_plain(learned.plain_loads(loads), left) else {
            return Ok(());
        };
        self.log_late(request, learned.plain_loads(loads));
        let jitter = rand::random_range(1.0..1.0 + RETRY_AFTER_JITTER);
        Err(Refusal::not_run(Reason::Overload).retry_after(retry_after.mul_f64(jitter)))
    }

    /// Logs and counts the upstreams that are slow.
    fn review_speeds(
        &self,
        request: &CheckedRequest,
        group: &EligibleGroup<'_>,
        ratings: &[Rating],
        now: Instant,
    ) {
        let service = &request.service.name;
        let upstreams = &group.upstreams;
        let is_slow = |at: &usize| ratings[*at].slowness >= SLOW_FACTOR;
        let changed: SmallVec<[usize; 16]> =
            (0..ratings.len()).filter(|at| upstreams[*at].set_slow(is_slow(at))).collect();
        let members = self.roster.service_upstreams(service);
        let slow = members.iter().filter(|upstream| upstream.is_slow()).count();
        if let Some(first) = changed.first() {
            let slowness = ratings[*first].slowness;
            self.log_speed(upstreams[*first], slowness, changed.len(), slow, now);
        }
        self.meter.slow_upstreams(service, slow);
        if let Some(engine) = request.service.engine {
            let capacity = request.state.least_capacity(now);
            let capacity = capacity.unwrap_or(f64::from(engine.slots));
            self.meter.learned_capacity(service, capacity);
        }
    }
}

impl LearnedChoice {
    /// Returns the loads of the upstreams of a plain service.
    fn plain_loads(&self, loads: &[f64]) -> impl Iterator<Item = PlainLoad> {
        self.measured.iter().zip(loads).map(|(measured, load)| PlainLoad {
            requests: *load,
            slots: measured.slots,
            time: measured.speed.mean().map(Duration::from_secs_f64),
        })
    }

    /// Returns the loads by which an upstream is chosen.
    pub(super) fn expected_loads(
        &self,
        candidates: &[Candidate],
        loads: &[f64],
    ) -> SmallVec<[f64; 16]> {
        expected_loads(candidates, loads, &self.ratings, self.work)
    }

    /// Returns what is known of the request at the chosen upstream.
    pub(super) fn sent_request(
        &self,
        request: &CheckedRequest,
        group: &EligibleGroup<'_>,
        chosen: usize,
    ) -> SentRequest {
        let load = group.loads[chosen] + 1.0;
        let plain = || {
            let slots = self.measured[chosen].slots.unwrap_or(u32::MAX).max(1);
            (load / f64::from(slots)).max(1.0)
        };
        let engine = request.service.engine;
        SentRequest {
            work: self.work,
            slowness: self.ratings[chosen].slowness,
            load,
            expected: engine
                .map_or_else(plain, |engine| first_event(&engine, request, group, load)),
            is_engine: engine.is_some(),
        }
    }
}

/// Returns the seconds to the first event that the settings predict for an engine with this load.
fn first_event(
    engine: &Engine,
    request: &CheckedRequest,
    group: &EligibleGroup<'_>,
    load: f64,
) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let running = load.min(slots);
    let step = engine.step.as_secs_f64() + engine.per_request.as_secs_f64() * running;
    let pass = step * f64::from(engine.stride);
    let prompt = f64::from(request.size.prompt.unwrap_or_default());
    let stream_duration = group.state.stream_stats.mean_duration();
    let stream_duration = stream_duration.unwrap_or(DEFAULT_STREAM_DURATION).as_secs_f64();
    let wait = (load - slots).max(0.0) / slots * stream_duration;
    (prompt / engine.read_per_s.max(1.0) + pass * FIRST_PASSES + wait).max(MIN_EXPECTED)
}
