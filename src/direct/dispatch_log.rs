use tokio::time::Instant;

use super::attempt::Attempted;
use super::course::Course;
use super::dispatcher::Dispatcher;
use super::event::Event;
use super::ledger::millis;
use super::order::Order;
use super::{EngineLoad, Upstream, View};
use crate::event_log::Level;
use crate::units::BootTime;

impl Dispatcher {
    pub(super) fn log_sent(
        &self,
        order: &Order,
        course: &Course,
        upstream: &Upstream,
        view: &View,
        now: Instant,
    ) {
        let age = self.freshness.age(BootTime::now()).unwrap_or_default();
        let event = Event::Sent {
            id: order.id.to_str().unwrap_or_default(),
            attempt: course.attempts,
            route: &order.route.name,
            account: order.account.as_ref().map_or("", |account| &account.name),
            upstream: &upstream.listed.id,
            revision: order.revision,
            settings_age_ms: millis(age),
            own: view.own,
            others: view.others.map(|report| report.requests),
            load_age_ms: view.others.map(|report| millis(report.age)),
            left_ms: millis(order.deadline.saturating_duration_since(now)),
        };
        self.log.write(Level::Info, &event);
    }

    pub(super) fn log_failed(
        &self,
        order: &Order,
        course: &Course,
        upstream: &Upstream,
        failure: &Attempted,
        began: Instant,
    ) {
        let event = Event::Failed {
            id: order.id.to_str().unwrap_or_default(),
            attempt: course.attempts,
            upstream: &upstream.listed.id,
            outcome: failure.ended.outcome.as_str(),
            reason: failure.ended.reason.as_str(),
            detail: failure.detail.clone(),
            took_ms: millis(began.elapsed()),
        };
        self.log.write(Level::Warn, &event);
    }

    pub(super) fn log_crash(&self, order: &Order, upstream: &Upstream, print: u64, crashes: u32) {
        let event = Event::Crashed {
            id: order.id.to_str().unwrap_or_default(),
            upstream: &upstream.listed.id,
            print: format!("{print:x}"),
            crashes,
        };
        self.log.write(Level::Warn, &event);
    }

    pub(super) fn log_refused(&self, order: &Order, load: &EngineLoad, places: f64) {
        let event = Event::NotAdmitted {
            id: order.id.to_str().unwrap_or_default(),
            route: &order.route.name,
            account: order.account.as_ref().map_or("", |account| &account.name),
            least: load.least,
            mean: load.mean,
            places,
            gap_ms: load.gap.map(millis),
            silence_ms: load.silence.map(millis),
        };
        self.log.write(Level::Warn, &event);
    }
}
