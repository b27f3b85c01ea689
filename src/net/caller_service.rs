use std::convert::Infallible;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};

use super::connection_limit::ConnectionSlot;
use super::connection_turn::{ConnectionTurn, RequestGuard};
use super::guarded_body::GuardedBody;
use super::{ConnectionLimit, Handler, refusal_answer};
use crate::memory::MemoryBudget;
use crate::outcome::{Reason, Refusal};

/// What a request takes beside its head and its body.
const REQUEST_BYTES: usize = 4 << 10;
/// What a header takes beside its name and its value.
const HEADER_BYTES: usize = 32;
/// Time after which a caller may return for whose request there is no memory. Who makes no progress
/// has given way by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A handler's response, whose request counts as in flight until it is complete.
type GuardedResponse<H> = Response<GuardedBody<<H as Handler>::Body>>;

/// Why a connection ended before its caller closed it.
pub(super) type ConnectionError = Box<dyn Error + Send + Sync>;

/// Passes the requests of one connection to a handler, as far as there is memory for their heads.
pub(super) struct CallerService<H> {
    handler: Arc<H>,
    memory: MemoryBudget,
    connections: ConnectionLimit,
    pub(super) turn: Arc<ConnectionTurn>,
}

impl<H: Handler> CallerService<H> {
    /// Makes the service of a connection.
    pub(super) fn new(handler: &Arc<H>, memory: &MemoryBudget, slot: &ConnectionSlot) -> Self {
        let (handler, memory) = (Arc::clone(handler), memory.clone());
        let (connections, turn) = (slot.limit().clone(), Arc::clone(slot.turn()));
        Self { handler, memory, connections, turn }
    }

    /// Returns the service for the HTTP library.
    pub(super) fn hyper(
        &self,
    ) -> impl Service<
        Request<Incoming>,
        Response = GuardedResponse<H>,
        Error = Infallible,
        Future: Future<Output = Result<GuardedResponse<H>, Infallible>> + Send,
    > + use<H> {
        let Self { handler, memory, turn, .. } = self;
        let (handler, memory, turn) = (Arc::clone(handler), memory.clone(), Arc::clone(turn));
        service_fn(move |request| {
            let (handler, memory) = (Arc::clone(&handler), memory.clone());
            let guard = turn.begin(memory.lease());
            async move { Ok(respond(handler.as_ref(), guard, request).await) }
        })
    }
}

impl<H> CallerService<H> {
    /// Counts the end of the connection if it was for the size of a head.
    pub(super) fn record_end(&self, ended: &Result<(), ConnectionError>) {
        let err = ended.as_ref().err().and_then(|err| err.downcast_ref::<hyper::Error>());
        if err.is_some_and(hyper::Error::is_parse_too_large) {
            self.connections.record_too_large();
        }
    }
}

async fn respond<H: Handler>(
    handler: &H,
    mut guard: RequestGuard,
    mut request: Request<Incoming>,
) -> GuardedResponse<H> {
    let has_memory = guard.lease().grow(head_bytes(&request)).await.is_ok();
    let guard = Arc::new(guard);
    let response = if has_memory {
        request.extensions_mut().insert(Arc::clone(&guard));
        handler.handle(request).await
    } else {
        refusal_answer(&Refusal::not_run(Reason::NoMemory).retry_after(MEMORY_RETRY_AFTER))
    };
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        guard.record_upgrade();
    }
    response.map(|body| GuardedBody::new(body, guard))
}

/// Returns what a request takes without its body.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    let uri = request.uri();
    let target = uri.path().len() + uri.query().map_or(0, str::len);
    REQUEST_BYTES + target + headers.sum::<usize>()
}
