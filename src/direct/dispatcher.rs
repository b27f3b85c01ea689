use std::collections::HashMap;
use std::future::pending;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::attempt::Attempted;
use super::connection::Connection;
use super::course::Course;
use super::event::Event;
use super::order::Order;
use super::pick::Chosen;
use super::service_state::ServiceState;
use super::share_crashes::Finding;
use super::upstream::InFlight;
use super::{Crashes, Delivery, DirectMeter, Freshness, RetryLimits, Roster, Upstream, Wire};
use crate::entry::Failure;
use crate::event_log::{EventLog, Level};
use crate::outcome::{Reason, Refusal};

/// Least time that must be left for another attempt.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Pause between two looks whether an upstream is stuck.
const STUCK_LOOK: Duration = Duration::from_millis(100);

/// Sends requests to upstreams, checks their answers, and tries again.
#[derive(Debug)]
pub(super) struct Dispatcher {
    pub(super) wire: Wire,
    pub(super) domain: String,
    pub(super) roster: Arc<Roster>,
    pub(super) freshness: Arc<Freshness>,
    pub(super) limits: RetryLimits,
    pub(super) services: Mutex<HashMap<String, Arc<ServiceState>>>,
    pub(super) crashes: Arc<Crashes>,
    pub(super) findings: mpsc::Sender<Finding>,
    pub(super) meter: Arc<DirectMeter>,
    pub(super) log: EventLog,
}

/// An answer of an upstream, or the beginning of one.
#[derive(Debug)]
pub(super) enum Sent {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream that has begun.
    Stream(Box<Stream>),
}

/// A stream that has begun, and what it occupies.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) conn: Connection,
    pub(super) upstream: Arc<Upstream>,
    pub(super) in_flight: InFlight,
}

impl Dispatcher {
    /// What is kept of a service.
    pub(super) fn service(&self, name: &str) -> Arc<ServiceState> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get(name) {
            return Arc::clone(state);
        }
        let state = Arc::new(ServiceState::new(self.limits));
        services.insert(name.to_owned(), Arc::clone(&state));
        state
    }

    /// Sends a request until an answer begins, or until another attempt can't help.
    pub(super) async fn dispatch(
        &self,
        order: &Order,
        course: &mut Course,
        last_event: Option<&Bytes>,
    ) -> Result<Sent, Refusal> {
        // An upstream's own failure, for the case that no other does better.
        let mut spare = None;
        loop {
            let Chosen { upstream, view } = match self.pick(order, course) {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    return spare.map_or(Err(refusal), |answer| Ok(Sent::Whole(answer)));
                }
            };
            let began = Instant::now();
            course.begin(&upstream.listed.id);
            self.log_sent(order, course, &upstream, &view, began);
            let (sent, is_paid) = tokio::select! {
                sent = self.send(order, &upstream, last_event) => (sent, false),
                stuck = self.stuck(order, course, &upstream) => (Err(stuck), true),
            };
            let failure = match sent {
                Ok(Sent::Whole(answer)) if self.may_better(order, course, &answer) => {
                    self.meter.retried(Reason::UpstreamFailed);
                    spare = Some(answer);
                    continue;
                }
                Ok(sent) => return Ok(sent),
                Err(failure) => failure,
            };
            if let Some(answer) = spare {
                return Ok(Sent::Whole(answer));
            }
            course.note(failure.ended);
            self.log_failed(order, course, &upstream, &failure, began);
            if !is_paid && !self.may_retry(order, course, failure.ended) {
                return Err(course.refusal(failure.ended.reason));
            }
            self.meter.retried(failure.ended.reason);
        }
    }

    fn may_retry(&self, order: &Order, course: &Course, failure: Failure) -> bool {
        let rerun = order.route.delivery.may_rerun();
        let left = order.deadline.saturating_duration_since(Instant::now());
        if left < LEAST_LEFT || !course.may_go_on(failure, rerun, order.route.max_attempts) {
            return false;
        }
        // What reached no upstream at all is no repetition for them.
        let unseen = failure.reason == Reason::UpstreamDown && !course.is_sent();
        unseen || order.state.budget.spend(Instant::now())
    }

    /// Whether another upstream may do better with an idempotent request that one has failed.
    fn may_better(&self, order: &Order, course: &Course, answer: &Response<Bytes>) -> bool {
        let failure = Failure::unknown(Reason::UpstreamFailed);
        answer.status().is_server_error()
            && order.route.delivery == Delivery::Idempotent
            && self.may_retry(order, course, failure)
    }

    /// Takes in that an upstream takes no connections: what it ran until just before is suspected.
    pub(super) fn note_crash(&self, order: &Order, upstream: &Upstream) {
        for (print, at) in upstream.take_broken() {
            if let Some(crashes) = self.crashes.note(print, at) {
                self.log_crash(order, upstream, print, crashes);
                self.tell(Finding::Crashed(print));
            }
        }
    }

    /// Takes in that a request has run to its end.
    pub(super) fn clear_crashes(&self, order: &Order) {
        if self.crashes.clear(order.print) {
            self.tell(Finding::Cleared(order.print));
        }
    }

    /// Has the other entries told; with many crashes at once they learn of the first ones.
    fn tell(&self, finding: Finding) {
        if self.findings.try_send(finding).is_err() {
            let event = Event::CrashesUnusable { detail: format!("not told: {finding:?}") };
            self.log.write(Level::Warn, &event);
        }
    }

    /// Waits until an upstream is stuck and another attempt elsewhere is allowed; it is then paid
    /// for.
    pub(super) async fn stuck(
        &self,
        order: &Order,
        course: &Course,
        upstream: &Upstream,
    ) -> Attempted {
        if !order.route.delivery.may_rerun() {
            return pending().await;
        }
        loop {
            sleep(STUCK_LOOK).await;
            if upstream.is_stuck(&order.state.pulse) && self.may_resume(order, course) {
                upstream.lost();
                let ended = Failure::unknown(Reason::UpstreamTimeout);
                return Attempted { ended, detail: "silent while others answer".to_owned() };
            }
        }
    }

    /// Whether a stream that broke off may be taken up again elsewhere.
    pub(super) fn may_resume(&self, order: &Order, course: &Course) -> bool {
        self.may_retry(order, course, Failure::unknown(Reason::UpstreamLost))
    }
}
