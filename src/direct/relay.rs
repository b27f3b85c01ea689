use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until};

use super::course::Course;
use super::dispatcher::{Dispatcher, Sent, ServiceState, Stream};
use super::ledger::Ledger;
use super::order::Order;
use crate::net::{BodyError, BodySender, EventCutter};
use crate::outcome::Reason;

/// Passes a stream of events on, whole events only, and takes it up again at another upstream
/// when it breaks off.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) order: Order,
    pub(super) course: Course,
    pub(super) ledger: Ledger,
    pub(super) cutter: EventCutter,
    /// When the last event was passed on, and the first one.
    pub(super) last: Option<Instant>,
    pub(super) first: Option<Instant>,
    pub(super) service: Arc<ServiceState>,
}

/// How the passing on of one upstream's stream ended.
enum Passed {
    Whole,
    Broken(BodyError),
    CallerGone,
    Late,
}

impl Relay {
    /// Passes the stream on until it is whole, can't be taken up again, or nobody reads.
    pub(super) async fn run(mut self, mut stream: Box<Stream>, sender: BodySender) {
        loop {
            let Stream { head, mut body, conn, upstream, in_flight } = *stream;
            let passed = self.pass(&mut body, &sender).await;
            drop(in_flight);
            match passed {
                Passed::Whole => {
                    sender.close().await;
                    if let Some(first) = self.first {
                        self.service.pace.whole(first.elapsed());
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
                    upstream.lost();
                    drop(conn);
                    match self.resume(&sender).await {
                        Some(next) => stream = next,
                        None => {
                            self.ledger.broke(Reason::UpstreamLost);
                            return sender.fail(err).await;
                        }
                    }
                }
            }
        }
    }

    async fn pass(&mut self, body: &mut Incoming, sender: &BodySender) -> Passed {
        self.cutter.drop_partial();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sender.closed() => return Passed::CallerGone,
                () = sleep_until(self.order.deadline) => return Passed::Late,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(err)) => return Passed::Broken(err.into()),
                None if self.cutter.is_at_end() => return Passed::Whole,
                None => return Passed::Broken(BodyError::Short),
            };
            let Some(events) = self.cutter.push(data) else {
                continue;
            };
            self.ledger.first_byte();
            self.note_event();
            if !sender.send(events).await {
                return Passed::CallerGone;
            }
        }
    }

    fn note_event(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.service.pace.event(now - last, now);
        }
    }

    /// Takes the stream up again after the last event that was passed on.
    async fn resume(&mut self, sender: &BodySender) -> Option<Box<Stream>> {
        let route = &self.order.route;
        let allowed = route.delivery.may_rerun() && self.order.deadline > Instant::now();
        if !allowed || !self.dispatcher.may_resume(&self.order, &self.course) {
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
