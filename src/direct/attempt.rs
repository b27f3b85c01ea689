use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING};
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::connection::{Connection, SendError};
use super::dispatcher::{Dispatcher, Sent, Stream};
use super::order::Order;
use super::{Load, Upstream};
use crate::entry::Failure;
use crate::net::header_str;
use crate::outcome::Reason;

/// Largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time in which a connection must be free again after a whole answer.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// How an attempt without an answer ended, with a word for the log.
#[derive(Clone, Debug)]
pub(super) struct Attempted {
    pub(super) ended: Failure,
    pub(super) detail: String,
}

impl Attempted {
    fn new(ended: Failure, detail: impl Into<String>) -> Self {
        Self { ended, detail: detail.into() }
    }
}

impl Dispatcher {
    /// One attempt at one upstream.
    pub(super) async fn send(
        &self,
        order: &Order,
        upstream: &Arc<Upstream>,
        last_event: Option<&Bytes>,
    ) -> Result<Sent, Attempted> {
        let in_flight = upstream.enter(&order.state.pulse);
        let exchange = self.exchange(order, upstream, last_event);
        let (mut conn, answer) = match timeout_at(order.deadline, exchange).await {
            Ok(answered) => answered?,
            Err(_) => return Err(self.lost(upstream, Reason::UpstreamTimeout, "no answer")),
        };
        in_flight.heard();
        let (head, body) = answer.into_parts();
        if head.headers.get(&self.wire.attempt) != Some(&order.id) {
            return Err(self.lost(upstream, Reason::WrongAnswer, "another attempt's answer"));
        }
        if let Some(load) = header_str(&head.headers, &self.wire.load).and_then(Load::parse) {
            upstream.report(load);
        }
        if order.route.delivery.is_stream() && head.status.is_success() {
            self.check_success(upstream, &head)?;
            upstream.answered();
            let upstream = Arc::clone(upstream);
            let stream = Stream { head, body, conn, upstream, in_flight };
            return Ok(Sent::Stream(Box::new(stream)));
        }
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let body = match timeout_at(order.deadline, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(err)) => {
                return Err(self.lost(upstream, Reason::UpstreamLost, &err.to_string()));
            }
            Err(_) => return Err(self.lost(upstream, Reason::UpstreamTimeout, "half an answer")),
        };
        self.keep(&mut conn, upstream, &head.headers).await.then(|| {
            upstream.put_idle(conn.rest(kept_for(&head.headers)));
        });
        self.judge(order, upstream, head, body)
    }

    /// Tells what a whole answer says.
    fn judge(
        &self,
        order: &Order,
        upstream: &Arc<Upstream>,
        head: Parts,
        body: Bytes,
    ) -> Result<Sent, Attempted> {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            upstream.drain();
            return Err(Attempted::new(Failure::not_run(Reason::WrongService), "another upstream"));
        }
        if head.headers.contains_key(&self.wire.not_run) {
            upstream.refused();
            let detail = format!("refused with {}", head.status);
            return Err(Attempted::new(Failure::not_run(Reason::Overload), detail));
        }
        if promises_not_run(head.status) {
            // The upstream says nothing of not having run, so the status must not promise it.
            let detail = format!("status {} without proof", head.status);
            return Err(self.lost(upstream, Reason::UpstreamLost, &detail));
        }
        if head.status.is_success() {
            self.check_success(upstream, &head)?;
        }
        if head.status.is_success() {
            self.clear_crashes(order);
        }
        upstream.answered();
        Ok(Sent::Whole(Response::from_parts(head, body)))
    }

    fn check_success(&self, upstream: &Upstream, head: &Parts) -> Result<(), Attempted> {
        let sealed = head.headers.contains_key(&self.wire.seal);
        if sealed && !head.headers.contains_key(CONTENT_ENCODING) {
            return Ok(());
        }
        Err(self.lost(upstream, Reason::WrongAnswer, "a success that the upstream did not make"))
    }

    fn lost(&self, upstream: &Upstream, reason: Reason, detail: &str) -> Attempted {
        upstream.lost();
        Attempted::new(Failure::unknown(reason), detail)
    }

    /// Whether a connection can be used again after a whole answer.
    async fn keep(&self, conn: &mut Connection, upstream: &Upstream, head: &HeaderMap) -> bool {
        let closes = header_str(head, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if closes || upstream.is_draining() {
            return false;
        }
        let settled = timeout_at(Instant::now() + SETTLE_TIME, conn.settle()).await;
        settled.unwrap_or(false)
    }

    /// Gives a connection back whose stream is whole.
    pub(super) async fn give_back(
        &self,
        mut conn: Connection,
        upstream: &Upstream,
        head: &HeaderMap,
    ) {
        if self.keep(&mut conn, upstream, head).await {
            upstream.put_idle(conn.rest(kept_for(head)));
        }
    }

    /// Sends on a kept connection, or on a new one.
    async fn exchange(
        &self,
        order: &Order,
        upstream: &Arc<Upstream>,
        last_event: Option<&Bytes>,
    ) -> Result<(Connection, Response<Incoming>), Attempted> {
        // On a kept connection a broken one and a lost answer look alike, so what must not run
        // twice does not go there.
        while order.route.delivery.may_rerun() {
            let Some(mut conn) = upstream.take_idle() else { break };
            let request = self.request(order, upstream, last_event)?;
            match conn.send(request).await {
                Ok(answer) => return Ok((conn, answer)),
                Err(SendError::NotSent(_)) => {}
                Err(SendError::Lost(err)) => return Err(self.broken(order, upstream, &err)),
            }
        }
        let mut conn = Connection::open(upstream.addr()).await.map_err(|err| {
            self.note_crash(order, upstream);
            upstream.refused();
            Attempted::new(Failure::not_run(Reason::UpstreamDown), err.to_string())
        })?;
        let request = self.request(order, upstream, last_event)?;
        match conn.send(request).await {
            Ok(answer) => Ok((conn, answer)),
            Err(SendError::NotSent(_)) => {
                upstream.refused();
                Err(Attempted::new(Failure::not_run(Reason::UpstreamDown), "closed at once"))
            }
            Err(SendError::Lost(err)) => Err(self.broken(order, upstream, &err)),
        }
    }

    /// The request, if the upstream may still be sent it.
    fn request(
        &self,
        order: &Order,
        upstream: &Upstream,
        last_event: Option<&Bytes>,
    ) -> Result<Request<Full<Bytes>>, Attempted> {
        if upstream.is_draining() {
            return Err(Attempted::new(Failure::not_run(Reason::UpstreamDown), "leaving"));
        }
        Ok(order.request_for(upstream, &self.wire, last_event))
    }

    fn broken(&self, order: &Order, upstream: &Upstream, err: &hyper::Error) -> Attempted {
        upstream.broke(order.print);
        self.lost(upstream, Reason::UpstreamLost, &err.to_string())
    }
}

/// Statuses by which callers take a request for one that has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// How long an upstream keeps an idle connection, where its answer says so.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
