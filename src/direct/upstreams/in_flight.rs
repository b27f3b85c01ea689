use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::capacity::{FirstEvent, SentRequest};
use crate::direct::Upstream;
use crate::direct::groups::GroupState;

/// Time without activity of any engine during a request from which its response time says nothing
/// of its own engine.
const MAX_INACTIVE_TIME: Duration = Duration::from_millis(250);

/// A request counted as in flight at an upstream until dropped.
#[derive(Debug)]
pub(in crate::direct) struct InFlight {
    upstream: Arc<Upstream>,
    /// State of the group in which the upstream was as the request was sent.
    group: Arc<GroupState>,
    /// Active time of the group at which the request was sent.
    active_time: Duration,
    /// Whether the upstream has responded to the request.
    responded: AtomicBool,
    /// When the request was sent.
    started: Instant,
    /// What was known of the request, if speed and capacity are learned.
    request: Option<SentRequest>,
    /// Whether a complete response or an event has arrived.
    is_answered: AtomicBool,
}

impl InFlight {
    /// Creates the guard of a request that is sent now.
    pub(super) fn new(
        upstream: Arc<Upstream>,
        group: Arc<GroupState>,
        active_time: Duration,
        request: Option<SentRequest>,
    ) -> Self {
        Self {
            upstream,
            group,
            active_time,
            responded: AtomicBool::new(false),
            started: Instant::now(),
            request,
            is_answered: AtomicBool::new(false),
        }
    }

    /// Records a complete response, or the first event of a stream. Returns the time to it, unless
    /// nothing is learned or all engines were stalled meanwhile.
    pub(in crate::direct) fn record_first_event(&self, now: Instant) -> Option<FirstEvent> {
        let first = self.first_event(now)?;
        self.upstream.record_first_event(&first, now);
        Some(first)
    }

    /// Records that a complete response or an event has arrived.
    pub(in crate::direct) fn record_answered(&self) {
        self.is_answered.store(true, Ordering::Relaxed);
    }

    /// Returns the first event if it arrives at `now`, unless nothing is learned or all engines were
    /// stalled meanwhile.
    fn first_event(&self, now: Instant) -> Option<FirstEvent> {
        let sent = self.request?;
        let time = now.saturating_duration_since(self.started);
        let active_time = self.group.liveness.active_time().saturating_sub(self.active_time);
        let is_stalled = sent.is_engine && time.saturating_sub(active_time) > MAX_INACTIVE_TIME;
        (!is_stalled).then_some(FirstEvent { sent, time })
    }

    /// Records activity of the upstream.
    pub(in crate::direct) fn record_activity(&self) {
        let now = Instant::now();
        let liveness = &self.group.liveness;
        let active_time = liveness.record_activity(now);
        if !self.responded.swap(true, Ordering::Relaxed) {
            liveness.record_response_time(active_time.saturating_sub(self.active_time));
        }
        self.upstream.record_activity(liveness, active_time, now);
    }

    /// Returns the state of the group in which the request runs.
    pub(in crate::direct) const fn group(&self) -> &Arc<GroupState> {
        &self.group
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let is_answered = self.is_answered.load(Ordering::Relaxed);
        let now = Instant::now();
        let unanswered = self.first_event(now).filter(|_| !is_answered);
        self.upstream.end_request(&self.group.liveness, self.request, unanswered, now);
    }
}
