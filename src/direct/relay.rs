use std::pin::pin;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until};

use super::attempt::Attempted;
use super::course::Course;
use super::dispatcher::{Dispatcher, Sent, Stream};
use super::ledger::Ledger;
use super::order::Order;
use super::upstream::InFlight;
use super::{Pace, Upstream};
use crate::net::{BodyError, BodySender, EventSplitter};
use crate::outcome::Reason;

/// Passes a stream of events on, whole events only, and takes it up again at another upstream
/// when it breaks off.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) order: Order,
    pub(super) course: Course,
    pub(super) ledger: Ledger,
    pub(super) cutter: EventSplitter,
    pub(super) rhythm: Rhythm,
}

/// When the first and the last event of a stream were passed on.
#[derive(Debug, Default)]
pub(super) struct Rhythm {
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Rhythm {
    fn note(&mut self, pace: &Pace) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            pace.event(now - last, now);
        }
    }
}

/// How the passing on of one upstream's stream ended.
enum Passed {
    Whole,
    Broken(BodyError),
    /// The upstream is silent, and another attempt is allowed.
    Stuck(Attempted),
    CallerGone,
    Late,
}

impl Relay {
    /// Passes the stream on until it is whole, can't be taken up again, or nobody reads.
    pub(super) async fn run(mut self, mut stream: Box<Stream>, sender: BodySender) {
        loop {
            let Stream { head, mut body, conn, upstream, in_flight } = *stream;
            let began = Instant::now();
            let passed = self.pass(&mut body, &in_flight, &upstream, &sender).await;
            drop(in_flight);
            let (err, is_paid) = match passed {
                Passed::Whole => {
                    sender.close().await;
                    self.dispatcher.clear_crashes(&self.order);
                    if let Some(first) = self.rhythm.first {
                        self.order.state.pace.whole(first.elapsed());
                    }
                    self.ledger.ran(head.status.as_u16());
                    return self.dispatcher.give_back(conn, &upstream, &head.headers).await;
                }
                Passed::CallerGone => return,
                Passed::Late => {
                    self.ledger.broke(Reason::Deadline);
                    return sender.fail(BodyError::Deadline).await;
                }
                Passed::Broken(err) => {
                    upstream.broke(self.order.print);
                    upstream.lost();
                    (err, false)
                }
                Passed::Stuck(stuck) => {
                    let (order, course) = (&self.order, &self.course);
                    self.dispatcher.log_failed(order, course, &upstream, &stuck, began);
                    (BodyError::Truncated, true)
                }
            };
            drop(conn);
            match self.resume(&sender, is_paid).await {
                Some(next) => stream = next,
                None => {
                    self.ledger.broke(Reason::UpstreamLost);
                    return sender.fail(err).await;
                }
            }
        }
    }

    async fn pass(
        &mut self,
        body: &mut Incoming,
        in_flight: &InFlight,
        upstream: &Upstream,
        sender: &BodySender,
    ) -> Passed {
        let Self { dispatcher, order, course, ledger, cutter, rhythm } = self;
        cutter.drop_partial();
        let mut stuck = pin!(dispatcher.stuck(order, course, upstream));
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sender.closed() => return Passed::CallerGone,
                () = sleep_until(order.deadline) => return Passed::Late,
                stuck = &mut stuck => return Passed::Stuck(stuck),
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(err)) => return Passed::Broken(err.into()),
                None if cutter.is_at_boundary() => return Passed::Whole,
                None => return Passed::Broken(BodyError::Truncated),
            };
            in_flight.heard();
            let Some(events) = cutter.push(data) else {
                continue;
            };
            ledger.first_byte();
            rhythm.note(&order.state.pace);
            if !sender.send(events).await {
                return Passed::CallerGone;
            }
        }
    }

    /// Takes the stream up again after the last event that was passed on.
    /// `is_paid` tells that this attempt is allowed already.
    async fn resume(&mut self, sender: &BodySender, is_paid: bool) -> Option<Box<Stream>> {
        let route = &self.order.route;
        let allowed = route.delivery.may_rerun() && self.order.deadline > Instant::now();
        if !allowed || !(is_paid || self.dispatcher.may_resume(&self.order, &self.course)) {
            return None;
        }
        let last = self.cutter.last_id().cloned();
        let dispatch = self.dispatcher.dispatch(&self.order, &mut self.course, last.as_ref());
        let sent = tokio::select! {
            sent = dispatch => sent,
            () = sender.closed() => return None,
        };
        self.ledger.attempted(self.course.attempts);
        match sent {
            Ok(Sent::Stream(stream)) => Some(stream),
            Ok(Sent::Whole(_)) | Err(_) => None,
        }
    }
}
