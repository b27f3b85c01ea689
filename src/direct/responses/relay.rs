use std::pin::pin;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::direct::Upstream;
use crate::direct::attempts::{AttemptHistory, FailedAttempt, is_close_delimited};
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::{BegunStream, Dispatcher, Stream, UpstreamResponse};
use crate::direct::groups::GroupState;
use crate::direct::quarantine::CrashSign;
use crate::direct::responses::{RequestTracker, StreamProgress};
use crate::direct::upstreams::InFlight;
use crate::memory::MemoryLease;
use crate::net::{BodyError, BodySender, EventSplitter};
use crate::outcome::Reason;

/// Forwards a stream of events to the caller, complete events only, and resumes it at another
/// upstream when it breaks.
#[derive(Debug)]
pub(in crate::direct) struct Relay {
    pub(in crate::direct) dispatcher: Arc<Dispatcher>,
    pub(in crate::direct) request: CheckedRequest,
    pub(in crate::direct) history: AttemptHistory,
    pub(in crate::direct) tracker: RequestTracker,
    pub(in crate::direct) splitter: EventSplitter,
    pub(in crate::direct) event_timing: EventTiming,
    /// What is held of an event that is not complete yet.
    pub(in crate::direct) partial: MemoryLease,
}

/// When the first and the last event of a stream were forwarded.
#[derive(Debug, Default)]
pub(in crate::direct) struct EventTiming {
    first: Option<Instant>,
    last: Option<Instant>,
    /// Whether the stream goes on in another group, whose speed the next gap does not show.
    is_moved: bool,
}

impl EventTiming {
    fn record_event(&mut self, group: &GroupState) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        let is_moved = std::mem::take(&mut self.is_moved);
        if let Some(last) = self.last.replace(now).filter(|_| !is_moved) {
            group.stream_stats.record_gap(now - last, now);
        }
    }
}

/// How the forwarding of one upstream's stream ended.
enum RelayEnd {
    Complete,
    Broken(BodyError),
    /// The upstream is stuck, and another attempt is allowed.
    Stuck(FailedAttempt),
    CallerGone,
    /// The caller would disconnect before it gets another event.
    TimedOut,
}

impl Relay {
    /// Forwards the stream until it is complete, can't be resumed, the deadline passes, or the
    /// caller disconnects.
    pub(in crate::direct) async fn run(mut self, mut stream: Box<Stream>, sender: BodySender) {
        loop {
            let Stream { begun, upstream, attempt } = *stream;
            let BegunStream { head, mut body, conn, in_flight } = begun;
            let started = attempt.started();
            let group = Arc::clone(in_flight.group());
            let ends_with_connection = is_close_delimited(&head.headers, &body);
            let mut progress = StreamProgress::default();
            let end = self.forward(&mut body, &in_flight, &upstream, &sender, &mut progress).await;
            drop(in_flight);
            let end = match end {
                RelayEnd::Complete if ends_with_connection => self.confirm_end(&upstream).await,
                end => end,
            };
            let (err, is_charged) = match end {
                RelayEnd::Complete => {
                    attempt.close();
                    sender.close().await;
                    self.dispatcher.clear_crashes(&self.request);
                    self.record_stream(&group, progress);
                    if let Some(first) = self.event_timing.first {
                        group.stream_stats.record_duration(first.elapsed());
                    }
                    self.tracker.finish_answered(head.status.as_u16());
                    return self.dispatcher.release(conn, &upstream, &head.headers).await;
                }
                RelayEnd::CallerGone => return,
                RelayEnd::TimedOut => {
                    // The caller may never take the end of its body.
                    drop((attempt, body, conn));
                    self.tracker.finish_broken(self.request.timeout_reason(Instant::now()));
                    return sender.fail(BodyError::Deadline).await;
                }
                RelayEnd::Broken(err) => {
                    let (request, history) = (&self.request, &self.history);
                    let broken = FailedAttempt::broken_stream(&err);
                    self.dispatcher.log_failed(request, history, &upstream, &broken, started);
                    attempt.close();
                    if let Some(sign) = broken.sign {
                        self.dispatcher.suspect(request, &upstream, started, sign, progress);
                    }
                    upstream.record_loss();
                    if broken.may_be_rank_loss() || group.is_down() {
                        self.history.record_group_failure(&group.name);
                    }
                    if let Some(sign) = broken.sign {
                        let (request, history) = (&self.request, &mut self.history);
                        self.dispatcher.await_verdict(request, history, &upstream, sign).await;
                    }
                    (err, false)
                }
                RelayEnd::Stuck(stuck) => {
                    let (request, history) = (&self.request, &self.history);
                    self.dispatcher.log_failed(request, history, &upstream, &stuck, started);
                    attempt.close();
                    let sign = CrashSign::Silence;
                    self.dispatcher.suspect(request, &upstream, started, sign, progress);
                    (BodyError::Truncated, true)
                }
            };
            drop(conn);
            match self.resume(&sender, is_charged).await {
                Some(next) => {
                    let is_same = Arc::ptr_eq(next.begun.in_flight.group(), &group);
                    self.event_timing.is_moved |= !is_same;
                    stream = next;
                }
                None => {
                    self.tracker.finish_broken(Reason::UpstreamLost);
                    return sender.fail(err).await;
                }
            }
        }
    }

    /// Records a stream that one upstream has served.
    fn record_stream(&self, group: &GroupState, progress: StreamProgress) {
        let request = &self.request;
        let is_learned = request.is_learned && self.history.attempts == 1;
        if let Some(engine) = request.service.engine.filter(|_| is_learned) {
            let (state, route) = (&group.capacity, &request.route.name);
            state.record_stream(route, &request.size, progress.events, &engine);
        }
    }

    /// Tells the end of a body that ends with its connection from the end of its upstream.
    async fn confirm_end(&self, upstream: &Upstream) -> RelayEnd {
        match self.dispatcher.crash_recorder.outlives(upstream).await {
            true => RelayEnd::Complete,
            false => RelayEnd::Broken(BodyError::Truncated),
        }
    }

    async fn forward(
        &mut self,
        body: &mut Incoming,
        in_flight: &InFlight,
        upstream: &Upstream,
        sender: &BodySender,
        progress: &mut StreamProgress,
    ) -> RelayEnd {
        let Self { dispatcher, request, history, tracker, splitter, event_timing, partial } = self;
        let group = in_flight.group();
        splitter.drop_partial();
        let mut stuck =
            pin!(dispatcher.wait_until_stuck(request, history, upstream, &group.liveness));
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sender.closed() => return RelayEnd::CallerGone,
                () = sleep_until(request.give_up_at(event_timing.last)) => {
                    return RelayEnd::TimedOut;
                }
                stuck = &mut stuck => return RelayEnd::Stuck(stuck),
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(err)) => return RelayEnd::Broken(err.into()),
                None if splitter.is_at_boundary() => return RelayEnd::Complete,
                None => return RelayEnd::Broken(BodyError::Truncated),
            };
            in_flight.record_activity();
            let events = splitter.push(data);
            if timeout_at(request.deadline, partial.resize(splitter.partial_bytes())).await.is_err()
            {
                return RelayEnd::TimedOut;
            }
            let events = match events {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(err) => return RelayEnd::Broken(err),
            };
            progress.record_event();
            tracker.first_byte();
            if progress.events == 1 {
                record_first_event(request, in_flight);
            }
            event_timing.record_event(group);
            dispatcher.record_progress(request, group);
            // A caller that does not read must not hold up the upstream.
            let sending = async { sender.send(dispatcher.memory.hold_events(events).await).await };
            match timeout_at(request.deadline, sending).await {
                Ok(true) => {}
                Ok(false) => return RelayEnd::CallerGone,
                Err(_) => return RelayEnd::TimedOut,
            }
        }
    }

    /// Resumes the stream at another upstream after the last event that was forwarded.
    /// `is_charged` is true if this attempt is already charged to the retry budget.
    async fn resume(&mut self, sender: &BodySender, is_charged: bool) -> Option<Box<Stream>> {
        let route = &self.request.route;
        let allowed = route.delivery.may_rerun() && self.request.deadline > Instant::now();
        if !allowed || !(is_charged || self.dispatcher.may_resume(&self.request, &self.history)) {
            return None;
        }
        let last = self.splitter.last_id().cloned();
        let due = self.request.give_up_at(self.event_timing.last);
        let dispatch = self.dispatcher.dispatch(&self.request, &mut self.history, last.as_ref());
        let result = tokio::select! {
            result = dispatch => result,
            () = sender.closed() => return None,
            () = sleep_until(due) => return None,
        };
        self.tracker.set_attempts(self.history.attempts);
        match result {
            Ok(UpstreamResponse::Stream(stream)) => Some(stream),
            Ok(UpstreamResponse::Complete(_)) | Err(_) => None,
        }
    }
}

/// Records the time to the first event of an attempt.
fn record_first_event(request: &CheckedRequest, in_flight: &InFlight) {
    let now = Instant::now();
    in_flight.record_answered();
    if let Some(first) = in_flight.record_first_event(now)
        && let Some(engine) = request.service.engine
    {
        let target = request.route.first_byte_target;
        in_flight.group().capacity.record_first_event(&first, target, &engine, now);
    }
}
