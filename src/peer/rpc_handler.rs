use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::UPGRADE;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use jsonrpsee::server::HttpBody;
use tower_service::Service;

use crate::net::{
    BodyError, BodyLimits, CallerBounds, CollectError, Handler, RequestBody, discard, receive,
    refusal_answer,
};
use crate::outcome::{Reason, Refusal};

/// Maximum size of a call.
pub(super) const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum time for a call to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the rest of a call is read that there is no memory for.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Time after which a caller may return for whose call there is no memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Passes calls, once they are read, and sessions of WebSocket to a service of the RPC library.
pub(super) struct RpcHandler<F> {
    /// Makes the service for a call.
    pub(super) calls: F,
    /// Makes the service for a session.
    pub(super) sessions: F,
    pub(super) bounds: CallerBounds,
}

impl<F, S> Handler for RpcHandler<F>
where
    F: Fn() -> S + Send + Sync + 'static,
    S: Service<Request<Full<Bytes>>, Response = Response<HttpBody>, Future: Send> + Send,
{
    type Body = RpcBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<RpcBody> {
        let (head, body) = request.into_parts();
        let is_session = head.headers.contains_key(UPGRADE);
        let mut body = RequestBody::new(body, &head.extensions);
        let limits = BodyLimits { max_bytes: MAX_MESSAGE_BYTES as u64, max_time: BODY_TIMEOUT };
        let call = match receive(&mut body, limits, &self.bounds.memory).await {
            Ok(call) => call,
            Err(err) => {
                match err {
                    CollectError::NoMemory => drop(tokio::spawn(discard(body, DISCARD_TIME))),
                    CollectError::TooLarge => self.bounds.connections.record_too_large(),
                    _ => {}
                }
                return refusal_answer(&Refusal::not_run(err.into()).retry_after(RETRY_AFTER));
            }
        };
        let mut service = if is_session { (self.sessions)() } else { (self.calls)() };
        match service.call(Request::from_parts(head, Full::new(call))).await {
            Ok(response) => response.map(RpcBody),
            Err(_) => refusal_answer(&Refusal::unknown(Reason::UpstreamFailed)),
        }
    }
}

/// Body of a response of the RPC library.
#[derive(Debug)]
pub(super) struct RpcBody(HttpBody);

impl From<Bytes> for RpcBody {
    fn from(bytes: Bytes) -> Self {
        Self(HttpBody::new(Full::new(bytes)))
    }
}

impl Body for RpcBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.0).poll_frame(cx).map_err(|_| BodyError::Abandoned)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}
