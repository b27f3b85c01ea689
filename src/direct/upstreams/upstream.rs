use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::backoff::Backoff;
use super::idle_connections::IdleConnections;
use crate::capacity::{DecayingSum, FirstEvent, SentRequest, SpeedEstimator};
use crate::direct::attempts::Connection;
use crate::direct::groups::GroupState;
use crate::direct::quarantine::UpstreamSuspects;
use crate::direct::upstreams::{InFlight, LoadReport};
use crate::direct::{Inactivity, ListedUpstream, Liveness, Load};

/// Longest pause that is kept, longer than any incarnation lives.
const MAX_PAUSE: Duration = Duration::from_secs(365 * 24 * 3_600);

/// One incarnation of an upstream, as this entry sees it.
#[derive(Debug)]
pub struct Upstream {
    /// Listing of the upstream by the platform.
    pub listed: ListedUpstream,
    /// When this entry learned of this incarnation.
    pub(super) known_since: Instant,
    /// Attempts that may have crashed it.
    pub(in crate::direct) suspects: UpstreamSuspects,
    /// Cancelled once this incarnation has ended without draining.
    ended: CancellationToken,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) draining: bool,
    pub(super) has_answered: bool,
    /// Whether no connection could be opened, and it has never answered.
    pub(super) is_unreachable: bool,
    pub(super) in_flight: u32,
    pub(super) load: Option<LoadReport>,
    pub(super) backoff: Backoff,
    /// Until when the upstream wants no requests from this entry.
    pub(super) paused_until: Option<Instant>,
    pub(super) inactivity: Inactivity,
    /// Liveness of the group in whose active time the inactivity is measured.
    pub(super) liveness: Option<Arc<Liveness>>,
    /// When the upstream last sent anything.
    pub(super) last_activity: Option<Instant>,
    pub(super) idle: IdleConnections,
    /// Work in flight, in usual requests.
    pub(super) work: f64,
    /// Work of requests that failed. It counts as in flight for some time: an upstream that fails
    /// requests fast has few in flight, and would attract the next ones.
    pub(super) failed_work: DecayingSum,
    pub(super) speed: SpeedEstimator,
    /// When the upstream was last avoided or paused.
    pub(super) avoided: Option<Instant>,
    /// Whether the log last reported the upstream as slow.
    pub(super) is_slow: bool,
}

impl Upstream {
    /// Creates an upstream of which only the listing is known.
    pub fn new(listed: ListedUpstream) -> Self {
        let state = State { draining: listed.draining, ..State::default() };
        let (known_since, ended) = (Instant::now(), CancellationToken::new());
        Self {
            listed,
            known_since,
            suspects: UpstreamSuspects::default(),
            ended,
            state: Mutex::new(state),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address on which the upstream accepts requests.
    pub const fn addr(&self) -> SocketAddr {
        self.listed.addr
    }

    /// Returns whether a listing describes this incarnation.
    pub fn is_same_incarnation(&self, listed: &ListedUpstream) -> bool {
        let known = &self.listed;
        known.addr == listed.addr
            && known.started_at_ms == listed.started_at_ms
            && known.service == listed.service
    }

    /// Marks this incarnation as draining, which can't be undone, and drops its idle connections.
    pub(in crate::direct) fn drain(&self) {
        let mut state = self.lock();
        state.draining = true;
        state.idle.clear();
    }

    /// Marks this incarnation as ended, because the platform lists it no longer or another one at
    /// its address. If it was not draining, it has crashed.
    pub(in crate::direct) fn end(&self) {
        if !self.is_draining() {
            self.ended.cancel();
        }
        self.drain();
    }

    /// Records that no connection to it could be opened.
    pub(in crate::direct) fn record_unreachable(&self) {
        let mut state = self.lock();
        state.is_unreachable = !state.has_answered;
        state.backoff.begin();
    }

    /// Returns whether no connection to it could be opened, and it has never answered.
    pub(super) fn is_unreachable(&self) -> bool {
        self.lock().is_unreachable
    }

    /// Waits until this incarnation has ended without draining.
    pub(in crate::direct) async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Returns whether the upstream is draining, so that it gets no new requests.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(in crate::direct) fn begin_request(
        self: &Arc<Self>,
        group: &Arc<GroupState>,
        request: Option<SentRequest>,
    ) -> InFlight {
        let liveness = &group.liveness;
        let active_time = liveness.active_time();
        let mut state = self.lock();
        state.in_flight += 1;
        state.work += work_of(request);
        if !state.is_measured_in(liveness) {
            // The active times of two groups can't be compared.
            state.inactivity = Inactivity::default();
            state.liveness = Some(Arc::clone(liveness));
        }
        state.inactivity.record_request(active_time);
        InFlight::new(Arc::clone(self), Arc::clone(group), active_time, request)
    }

    /// Ends the count of a request as in flight.
    pub(super) fn end_request(
        &self,
        liveness: &Liveness,
        request: Option<SentRequest>,
        unanswered: Option<FirstEvent>,
        now: Instant,
    ) {
        let mut state = self.lock();
        if let Some(unanswered) = unanswered {
            state.speed.record_unanswered(unanswered.relative_time(), now);
        }
        state.in_flight = state.in_flight.saturating_sub(1);
        state.work -= work_of(request);
        if state.in_flight == 0 {
            // Drops what rounding has left.
            state.work = 0.0;
        }
        if state.in_flight == 0 && state.is_measured_in(liveness) {
            let limit = liveness.silence_limit();
            state.inactivity.record_idle(liveness.active_time(), limit, now);
        }
    }

    /// Records the time to a complete response or to the first event of a stream.
    pub(super) fn record_first_event(&self, first: &FirstEvent, now: Instant) {
        self.lock().speed.record(first.relative_time(), now);
    }

    /// Records that the upstream has sent something at an active time of its group.
    pub(super) fn record_activity(&self, liveness: &Liveness, active_time: Duration, now: Instant) {
        let mut state = self.lock();
        if state.is_measured_in(liveness) {
            state.inactivity.record_activity(active_time);
        }
        state.last_activity = Some(now);
    }

    /// Returns whether requests that may run again should be moved to another upstream.
    pub(in crate::direct) fn is_stuck(&self, liveness: &Liveness) -> bool {
        let state = self.lock();
        state.is_measured_in(liveness)
            && state.inactivity.is_stuck(liveness.active_time(), liveness.silence_limit())
    }

    /// Returns for how much active time the upstream has been silent although it has requests.
    pub(in crate::direct) fn inactive_for(&self, liveness: &Liveness) -> Duration {
        let state = self.lock();
        if !state.is_measured_in(liveness) {
            return Duration::ZERO;
        }
        state.inactivity.duration(liveness.active_time())
    }

    /// Returns for how long the upstream has sent nothing, or `None` if it never sent anything.
    pub(in crate::direct) fn silent_for(&self) -> Option<Duration> {
        self.lock().last_activity.map(|last_activity| last_activity.elapsed())
    }

    /// Records the load that a response reported.
    pub(in crate::direct) fn record_load(&self, load: Load) {
        let mut state = self.lock();
        let own = state.in_flight;
        state.load = Some(LoadReport { load, at: Instant::now(), own });
    }

    /// Records a valid response, which ends the backoff.
    pub(in crate::direct) fn record_success(&self) {
        let mut state = self.lock();
        state.has_answered = true;
        state.is_unreachable = false;
        state.backoff.record_success();
    }

    /// Returns whether it has answered since it last failed, or has not failed yet.
    pub(in crate::direct) fn is_sound(&self) -> bool {
        self.lock().backoff.is_clear()
    }

    /// Records that the upstream can't be reached or refused a request.
    pub(in crate::direct) fn record_refusal(&self) {
        self.lock().backoff.begin();
    }

    /// Records that the upstream wants no requests from this entry for a time.
    pub(in crate::direct) fn pause(&self, time: Duration, now: Instant) {
        let mut state = self.lock();
        // A time that the clock can't hold lasts as long as the upstream.
        let until = now.checked_add(time).unwrap_or(now + MAX_PAUSE);
        state.paused_until = state.paused_until.max(Some(until));
    }

    /// Returns until when the upstream wants no requests from this entry, if it is after `now`.
    pub(in crate::direct) fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.lock().paused_until.filter(|until| *until > now)
    }

    /// Records that a request got no valid response.
    pub(in crate::direct) fn record_loss(&self) {
        self.lock().backoff.record_loss();
    }

    /// Returns whether this entry knew of this incarnation before a time.
    pub(in crate::direct) fn is_known_before(&self, time: Instant) -> bool {
        self.known_since < time
    }

    /// Returns whether the upstream lives: a connection to it is open, or it accepts one. That one
    /// is kept for later requests.
    pub(in crate::direct) async fn accepts_connections(&self) -> bool {
        if self.lock().idle.has_usable() {
            return true;
        }
        let conn = Connection::open(self.addr()).await;
        conn.is_ok_and(|conn| {
            self.put_idle(conn.into_idle(None));
            true
        })
    }

    /// Takes an idle connection that can be reused.
    pub(in crate::direct) fn take_idle(&self) -> Option<Connection> {
        self.lock().idle.take()
    }

    /// Keeps an idle connection for later requests.
    pub(in crate::direct) fn put_idle(&self, conn: Connection) {
        let mut state = self.lock();
        if !state.draining {
            state.idle.put(conn);
        }
    }
}

/// Returns the work that a request counts for.
fn work_of(request: Option<SentRequest>) -> f64 {
    request.map_or(1.0, |sent| sent.work)
}

impl State {
    /// Returns whether the inactivity is measured in the active time of this liveness.
    pub(super) fn is_measured_in(&self, liveness: &Liveness) -> bool {
        self.liveness.as_deref().is_some_and(|own| std::ptr::eq(own, liveness))
    }
}
