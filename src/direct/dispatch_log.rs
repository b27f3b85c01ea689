use std::time::Duration;

use http::HeaderMap;
use tokio::time::Instant;

use super::checked_request::CheckedRequest;
use super::dispatcher::Dispatcher;
use super::event::Event;
use super::quarantine::CrashSign;
use super::quarantine::hex;
use super::{Candidate, Charge, Quarantine, Upstream};
use crate::admission::{Basis, LoadEstimate};
use crate::capacity::{PlainLoad, SLOW_FACTOR, SentRequest};
use crate::direct::attempts::{AttemptHistory, FailedAttempt};
use crate::direct::responses::StreamProgress;
use crate::event_log::Level;
use crate::membership::GroupName;
use crate::outcome::Reason;
use crate::units::{BootTime, millis};

impl Dispatcher {
    pub(super) fn log_sent(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        upstream: &Upstream,
        (candidate, sent): (&Candidate, Option<&SentRequest>),
        (group, row_age): (&GroupName, Option<Duration>),
    ) {
        let now = Instant::now();
        let age = self.freshness.age(BootTime::now()).unwrap_or_default();
        let event = Event::Sent {
            id: request.id.to_str().unwrap_or_default(),
            attempt: history.attempts,
            route: &request.route.name,
            account: request.account.as_ref().map_or("", |account| &account.name),
            parts: request.prompt.to_string(),
            upstream: &upstream.listed.id,
            group: row_age.map(|_| group.as_str()),
            group_age_ms: row_age.map(millis),
            revision: request.revision,
            settings_age_ms: millis(age),
            own: candidate.own,
            others: candidate.others.map(|report| report.requests),
            load_age_ms: candidate.others.map(|report| millis(report.age)),
            slowness: sent.map(|sent| sent.slowness),
            work: sent.map(|sent| sent.work),
            left_ms: millis(request.deadline.saturating_duration_since(now)),
        };
        self.log.write(Level::Info, &event);
    }

    pub(super) fn log_speed(
        &self,
        upstream: &Upstream,
        slowness: f64,
        changed: usize,
        slow_upstreams: usize,
        now: Instant,
    ) {
        let event = Event::Speed {
            upstream: &upstream.listed.id,
            service: &upstream.listed.service,
            slow: slowness >= SLOW_FACTOR,
            slowness,
            sample_age_ms: upstream.measured(now).speed.age(now).map(millis),
            changed,
            slow_upstreams,
        };
        self.log.write(Level::Info, &event);
    }

    pub(super) fn log_late(
        &self,
        request: &CheckedRequest,
        upstreams: impl Iterator<Item = PlainLoad>,
    ) {
        let least = upstreams.min_by(|left, right| left.requests.total_cmp(&right.requests));
        let left = request.deadline.saturating_duration_since(Instant::now());
        let event = Event::TooLate {
            id: request.id.to_str().unwrap_or_default(),
            route: &request.route.name,
            account: request.account.as_ref().map_or("", |account| &account.name),
            least: least.map_or(0.0, |least| least.requests),
            slots: least.and_then(|least| least.slots),
            usual_ms: least.and_then(|least| least.time).map(millis),
            left_ms: millis(left),
        };
        self.log.write(Level::Warn, &event);
    }

    pub(super) fn log_charge(&self, request: &CheckedRequest, reason: Reason, charge: &Charge) {
        let event = Event::RetryCharged {
            id: request.id.to_str().unwrap_or_default(),
            service: &request.service.name,
            reason: reason.as_str(),
            granted: charge.is_granted,
            requests: charge.requests,
            retries: charge.retries,
            slack: charge.slack,
        };
        // A request at a silent upstream asks again and again.
        let level = if charge.is_granted { Level::Info } else { Level::Debug };
        self.log.write(level, &event);
    }

    pub(super) fn log_draining(&self, request: &CheckedRequest, upstream: &Upstream) {
        let id = request.id.to_str().unwrap_or_default();
        let upstream = &upstream.listed.id;
        self.log.write(Level::Info, &Event::Draining { id, upstream });
    }

    pub(super) fn log_paused(
        &self,
        request: &CheckedRequest,
        upstream: &Upstream,
        pause: Duration,
    ) {
        let id = request.id.to_str().unwrap_or_default();
        let upstream = &upstream.listed.id;
        self.log.write(Level::Info, &Event::Paused { id, upstream, for_ms: millis(pause) });
    }

    pub(super) fn log_unknown_headers(&self, upstream: &Upstream, headers: &HeaderMap) {
        for name in self.header_watch.new_names(headers) {
            let event = Event::UnknownHeader { upstream: &upstream.listed.id, name: name.as_str() };
            self.log.write(Level::Info, &event);
        }
    }

    pub(super) fn log_failed(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        upstream: &Upstream,
        failed: &FailedAttempt,
        started: Instant,
    ) {
        let event = Event::Failed {
            id: request.id.to_str().unwrap_or_default(),
            attempt: history.attempts,
            upstream: &upstream.listed.id,
            outcome: failed.failure.outcome.as_str(),
            reason: failed.failure.reason.as_str(),
            detail: failed.detail.clone(),
            took_ms: millis(started.elapsed()),
        };
        self.log.write(Level::Warn, &event);
    }

    pub(super) fn log_suspected(
        &self,
        request: &CheckedRequest,
        upstream: &Upstream,
        sign: CrashSign,
        progress: StreamProgress,
    ) {
        let event = Event::Suspected {
            id: request.id.to_str().unwrap_or_default(),
            upstream: &upstream.listed.id,
            fingerprint: hex(request.crash_keys.request),
            parts: request.prompt.to_string(),
            sign: sign.as_str(),
            events: progress.events,
        };
        self.log.write(Level::Info, &event);
    }

    pub(super) fn log_quarantined(
        &self,
        request: &CheckedRequest,
        key: u64,
        quarantine: &Quarantine,
    ) {
        let event = Event::Quarantined {
            id: request.id.to_str().unwrap_or_default(),
            fingerprint: hex(key),
            parts: request.prompt.to_string(),
            crashes: quarantine.crashes,
            age_ms: millis(quarantine.age),
            left_ms: millis(quarantine.left),
        };
        self.log.write(Level::Warn, &event);
    }

    pub(super) fn log_cleared(&self, request: &CheckedRequest, crashes: u32) {
        let id = request.id.to_str().unwrap_or_default();
        let fingerprint = hex(request.crash_keys.request);
        self.log.write(Level::Info, &Event::CrashesCleared { id, fingerprint, crashes });
    }

    pub(super) fn log_not_admitted(
        &self,
        request: &CheckedRequest,
        load: &LoadEstimate,
        basis: &Basis,
    ) {
        let engine_load = &load.engine_load;
        let event = Event::NotAdmitted {
            id: request.id.to_str().unwrap_or_default(),
            route: &request.route.name,
            account: request.account.as_ref().map_or("", |account| &account.name),
            priority: request.priority(),
            least: engine_load.min,
            mean: engine_load.mean,
            level: basis.level,
            capacity: basis.capacity,
            reserve: basis.reserve,
            demand: basis.demand,
            queue: basis.queue,
            over_share: basis.is_over,
            report_age_ms: load.report_age.map(millis),
            gap_ms: engine_load.gap.map(millis),
            silence_ms: engine_load.inactive_for.map(millis),
        };
        self.log.write(Level::Warn, &event);
    }
}
