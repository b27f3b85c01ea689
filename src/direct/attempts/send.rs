use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING};
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::read_body::ReadError;
use crate::capacity::SentRequest;
use crate::direct::attempts::{Connection, FailedAttempt, SendError, is_close_delimited};
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::{BegunStream, Dispatcher, Exchanged};
use crate::direct::groups::GroupState;
use crate::direct::{Load, Upstream};
use crate::entry::Failure;
use crate::net::header_str;
use crate::outcome::Reason;

/// Time in which a connection must be ready again after a complete response to be reused.
const CONNECTION_READY_TIMEOUT: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Makes one attempt at one upstream.
    pub(in crate::direct) async fn send(
        &self,
        request: &CheckedRequest,
        upstream: &Arc<Upstream>,
        group: &Arc<GroupState>,
        sent: Option<SentRequest>,
        last_event: Option<&Bytes>,
    ) -> Result<Exchanged, FailedAttempt> {
        let in_flight = upstream.begin_request(group, sent);
        let exchange = self.exchange(request, upstream, last_event);
        let (mut conn, response) = match timeout_at(request.deadline, exchange).await {
            Ok(exchanged) => exchanged?,
            Err(_) => {
                upstream.record_loss();
                return Err(FailedAttempt::silent("no response before the deadline"));
            }
        };
        in_flight.record_activity();
        let (head, body) = response.into_parts();
        self.log_unknown_headers(upstream, &head.headers);
        if head.headers.get(&self.header_names.attempt) != Some(&request.id) {
            return Err(self.response_lost(
                upstream,
                Reason::WrongAnswer,
                "response belongs to another attempt",
            ));
        }
        self.hear(request, upstream, &head);
        if let Some(load) = header_str(&head.headers, &self.header_names.load).and_then(Load::parse)
        {
            upstream.record_load(load);
        }
        if request.route.delivery.is_stream() && head.status.is_success() {
            self.check_success(upstream, &head)?;
            upstream.record_success();
            group.outage.record_response();
            self.record_progress(request, group);
            return Ok(Exchanged::Begun(BegunStream { head, body, conn, in_flight }));
        }
        let ends_with_connection = is_close_delimited(&head.headers, &body);
        let body = match timeout_at(request.deadline, self.read_body(body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(ReadError::Broken(err))) => {
                upstream.record_loss();
                return Err(FailedAttempt::broken(&err));
            }
            Ok(Err(ReadError::TooLarge)) => {
                return Err(self.response_lost(
                    upstream,
                    Reason::WrongAnswer,
                    "response body larger than allowed",
                ));
            }
            Err(_) => {
                upstream.record_loss();
                return Err(FailedAttempt::silent("response body incomplete at the deadline"));
            }
        };
        let received = Instant::now();
        in_flight.record_answered();
        let may_be_cut = ends_with_connection && head.status.is_success();
        if may_be_cut && !self.crash_recorder.outlives(upstream).await {
            upstream.record_loss();
            return Err(FailedAttempt::broken(&"the upstream ended with its response"));
        }
        self.is_reusable(&mut conn, upstream, &head.headers).await.then(|| {
            upstream.put_idle(conn.into_idle(keep_alive_timeout(&head.headers)));
        });
        let checked = self.check_response(request, upstream, group, head, body);
        if let Ok(Exchanged::Complete(response)) = &checked
            && response.status().is_success()
            && request.service.engine.is_none()
        {
            in_flight.record_first_event(received);
        }
        checked
    }

    /// Classifies a complete response.
    fn check_response(
        &self,
        request: &CheckedRequest,
        upstream: &Arc<Upstream>,
        group: &GroupState,
        head: Parts,
        body: Bytes,
    ) -> Result<Exchanged, FailedAttempt> {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            self.roster.reject(upstream);
            return Err(FailedAttempt::new(
                Failure::not_run(Reason::WrongService),
                "request misdirected",
            ));
        }
        if head.headers.contains_key(&self.header_names.not_run) {
            upstream.record_refusal();
            let text = header_str(&head.headers, &self.header_names.load);
            let detail =
                format!("refused with status {}, load {}", head.status, text.unwrap_or("not told"));
            let refused = FailedAttempt::new(Failure::not_run(Reason::Overload), detail);
            let is_idle = text.and_then(Load::parse).is_some_and(|load| load.is_idle());
            let is_rank = request.service.engine.is_some_and(|engine| engine.experts.is_some());
            let refused_idle = is_idle && is_rank;
            let retry_after = refused_idle
                .then(|| self.record_idle_refusal(request, group, &upstream.listed.id))
                .flatten();
            return Err(FailedAttempt { retry_after, refused_idle, ..refused });
        }
        if implies_not_run(head.status) {
            // The upstream does not confirm that the request did not run, so this status must not
            // reach the caller, who would take it for a promise.
            let detail = format!("status {} without the not-run header", head.status);
            return Err(self.response_lost(upstream, Reason::UpstreamLost, &detail));
        }
        if head.status.is_success() {
            self.check_success(upstream, &head)?;
        }
        if head.status.is_success() {
            self.clear_crashes(request);
            if !self.group_directory.is_empty() {
                group.outage.record_response();
            }
            self.record_progress(request, group);
        }
        upstream.record_success();
        Ok(Exchanged::Complete(Response::from_parts(head, body)))
    }

    /// Checks that a success response comes from the upstream itself: it has the seal, and it has
    /// no content encoding.
    fn check_success(&self, upstream: &Upstream, head: &Parts) -> Result<(), FailedAttempt> {
        let sealed = head.headers.contains_key(&self.header_names.seal);
        if sealed && !head.headers.contains_key(CONTENT_ENCODING) {
            return Ok(());
        }
        Err(self.response_lost(
            upstream,
            Reason::WrongAnswer,
            "success response without seal or with content encoding",
        ))
    }

    fn response_lost(&self, upstream: &Upstream, reason: Reason, detail: &str) -> FailedAttempt {
        upstream.record_loss();
        FailedAttempt::new(Failure::unknown(reason), detail)
    }

    /// Classifies an exchange that ended before the head of a response. A head without end is no
    /// sign of a crash.
    fn exchange_lost(&self, upstream: &Upstream, err: &SendError) -> FailedAttempt {
        if err.is_endless_head() {
            let detail = "response head larger than allowed";
            return self.response_lost(upstream, Reason::WrongAnswer, detail);
        }
        upstream.record_loss();
        FailedAttempt::broken(err)
    }

    /// Returns whether a connection can be reused after a complete response.
    async fn is_reusable(
        &self,
        conn: &mut Connection,
        upstream: &Upstream,
        head: &HeaderMap,
    ) -> bool {
        conn.complete_exchange();
        let closes = header_str(head, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if closes || upstream.is_draining() {
            return false;
        }
        let ready =
            timeout_at(Instant::now() + CONNECTION_READY_TIMEOUT, conn.wait_until_ready()).await;
        ready.unwrap_or(false)
    }

    /// Returns a connection to the pool after its stream has completed, if it can be reused.
    pub(in crate::direct) async fn release(
        &self,
        mut conn: Connection,
        upstream: &Upstream,
        head: &HeaderMap,
    ) {
        if self.is_reusable(&mut conn, upstream, head).await {
            upstream.put_idle(conn.into_idle(keep_alive_timeout(head)));
        }
    }

    /// Sends the request on an idle connection or on a new one.
    async fn exchange(
        &self,
        request: &CheckedRequest,
        upstream: &Arc<Upstream>,
        last_event: Option<&Bytes>,
    ) -> Result<(Connection, Response<Incoming>), FailedAttempt> {
        // On an idle connection, a close before the request arrived and a lost response look alike,
        // so requests that must not run twice always get a new connection.
        while request.route.delivery.may_rerun() {
            let Some(mut conn) = upstream.take_idle() else { break };
            let http_request = self.build_request(request, upstream, last_event)?;
            match conn.send(http_request).await {
                Ok(response) => return Ok((conn, response)),
                Err(SendError::NotSent(_)) => {}
                Err(err) => return Err(self.exchange_lost(upstream, &err)),
            }
        }
        let mut conn = Connection::open(upstream.addr()).await.map_err(|err| {
            self.crash_recorder.record_failed_connection(upstream, &err);
            upstream.record_unreachable();
            FailedAttempt::new(Failure::not_run(Reason::UpstreamDown), err.to_string())
        })?;
        let http_request = self.build_request(request, upstream, last_event)?;
        match conn.send(http_request).await {
            Ok(response) => Ok((conn, response)),
            Err(SendError::NotSent(_)) => {
                upstream.record_refusal();
                Err(FailedAttempt::new(
                    Failure::not_run(Reason::UpstreamDown),
                    "connection closed before the request was written",
                ))
            }
            Err(err) => Err(self.exchange_lost(upstream, &err)),
        }
    }

    /// Builds the HTTP request, unless the upstream has meanwhile started draining or asked for a
    /// pause, or its failure domain is evacuated.
    fn build_request(
        &self,
        request: &CheckedRequest,
        upstream: &Upstream,
        last_event: Option<&Bytes>,
    ) -> Result<Request<Full<Bytes>>, FailedAttempt> {
        if upstream.is_draining() {
            return Err(FailedAttempt::new(
                Failure::not_run(Reason::UpstreamDown),
                "upstream is draining",
            ));
        }
        if self.evacuations.contains(&upstream.listed.domain) {
            return Err(FailedAttempt::new(
                Failure::not_run(Reason::UpstreamDown),
                "failure domain is evacuated",
            ));
        }
        if upstream.paused_until(Instant::now()).is_some() {
            return Err(FailedAttempt::new(
                Failure::not_run(Reason::UpstreamDown),
                "upstream has asked for a pause",
            ));
        }
        Ok(request.build_http_request(upstream, &self.header_names, last_event))
    }
}

/// Returns whether callers take this status as a promise that the request has not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns how long the upstream keeps an idle connection, if its response says so.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
