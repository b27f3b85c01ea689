use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{Response, response};
use http_body::Body;
use tokio::time::Instant;

use super::claims::{ClaimOutcome, Claims, HeldClaim};
use super::relay::{Relay, RelaySource};
use super::{
    ClaimKey, ClaimRow, Permit, RequestMetadata, SendError, SidecarBody, StoredAnswer, Upstream,
};
use crate::memory::MemoryBudget;
use crate::metrics::{Event, Meter};
use crate::net::{BufferedBody, Draining, ExchangeState, REPLAYED, RequestEnd, collect};
use crate::outcome::{Reason, Refusal};
use crate::platform::Table;

/// Maximum size of the response to a request that must not run twice.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
const EVENT_STREAM: &str = "text/event-stream";

/// A request that holds a slot and is about to run.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) deadline: Instant,
    pub(super) permit: Permit,
    pub(super) upstream: Upstream,
    /// Whether the service is a model engine, whose event streams end with `data: [DONE]`.
    pub(super) is_engine: bool,
    /// Whether this process shuts down.
    pub(super) draining: Draining,
}

impl AdmittedRequest {
    /// Runs a request that may be repeated, and relays the response while it arrives.
    pub(super) async fn relay(
        self,
        memory: &MemoryBudget,
    ) -> Result<Response<SidecarBody>, Refusal> {
        let guard = self.upstream.track(&self.metadata);
        let answer = self.upstream.send(&self.head, self.body, self.deadline).await?;
        let is_chat_stream = self.is_engine && is_event_stream(&answer);
        let (parts, body) = answer.into_parts();
        let exchange = exchange_state(&parts);
        if body.is_end_stream() {
            exchange.complete();
        }
        let source = RelaySource { upstream: self.upstream, exchange, _guard: guard };
        let relay = Relay::new(body, self.permit, source, self.deadline, is_chat_stream);
        Ok(Response::from_parts(parts, SidecarBody::stream(BufferedBody::start(relay, memory))))
    }

    /// Runs a request that must not run twice, under a claim on its idempotency key.
    pub(super) async fn run_once<P: Table>(
        self,
        claims: &Claims<P>,
        meter: &Meter,
    ) -> Result<Response<SidecarBody>, Refusal> {
        let Some(key) = self.metadata.key.as_deref() else {
            return Err(Refusal::not_run(Reason::BadHeader));
        };
        let key = ClaimKey::new(&self.metadata.account, &self.metadata.service, key);
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let digest = ClaimRow::digest_of(self.head.method.as_str(), path, &self.body);
        let claimed = claims.claim(&key, self.metadata.attempt, &digest, self.deadline).await;
        match claimed.map_err(|_| Refusal::not_run(Reason::StoreDown))? {
            ClaimOutcome::Won(held) => self.run_claimed(claims, held).await,
            ClaimOutcome::Ended(answer) => replay(&answer, meter),
            ClaimOutcome::InProgress => Err(Refusal::unknown(Reason::InProgress)),
            ClaimOutcome::Unsettled => Err(Refusal::unknown(Reason::Unsettled)),
            ClaimOutcome::KeyReused => Err(Refusal::not_run(Reason::KeyReused)),
        }
    }

    /// Runs a request whose claim has been won, and settles the claim.
    async fn run_claimed<P: Table>(
        self,
        claims: &Claims<P>,
        held: HeldClaim,
    ) -> Result<Response<SidecarBody>, Refusal> {
        // The process may have been paused since the claim was made.
        if Instant::now() >= self.deadline {
            claims.release(held).await;
            return Err(Refusal::not_run(Reason::Deadline));
        }
        // The claim may have taken its time, and the process may end before the request does.
        if !self.draining.may_start(RequestEnd { deadline: self.deadline, may_rerun: false }) {
            claims.release(held).await;
            return Err(Refusal::not_run(Reason::Leaving));
        }
        let guard = self.upstream.track(&self.metadata);
        let answer = self.exchange().await;
        drop(guard);
        match answer {
            Ok(answer) => {
                // A response that is read whole counts as one token, whatever its size.
                self.permit.complete(1.0);
                claims.finish(held, StoredAnswer::of(&answer)).await;
                Ok(answer.map(SidecarBody::from))
            }
            Err(SendError::NotSent) => {
                claims.release(held).await;
                Err(SendError::NotSent.into())
            }
            Err(err) => {
                claims.mark_unsettled(held).await;
                Err(err.into())
            }
        }
    }

    /// Sends the request and reads the whole response.
    async fn exchange(&self) -> Result<Response<Bytes>, SendError> {
        let answer = self.upstream.send(&self.head, self.body.clone(), self.deadline).await?;
        let (parts, body) = answer.into_parts();
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let body = collect(body, MAX_ANSWER_BYTES, time_left).await.map_err(|_| {
            self.upstream.report_broken();
            SendError::Broken
        })?;
        exchange_state(&parts).complete();
        Ok(Response::from_parts(parts, body))
    }
}

/// Returns the state of the connection that a response arrived on.
fn exchange_state(head: &response::Parts) -> ExchangeState {
    head.extensions.get().cloned().unwrap_or_default()
}

/// Rebuilds a stored response for a repeated request.
fn replay(answer: &StoredAnswer, meter: &Meter) -> Result<Response<SidecarBody>, Refusal> {
    let mut answer = answer.restore().ok_or_else(|| Refusal::unknown(Reason::Unsettled))?;
    answer.headers_mut().insert(REPLAYED, http::HeaderValue::from_static("true"));
    meter.count(Event::Replay);
    Ok(answer.map(SidecarBody::from))
}

fn is_event_stream<B: Body>(answer: &Response<B>) -> bool {
    let media = answer.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    media.is_some_and(|media| media.starts_with(EVENT_STREAM))
}
