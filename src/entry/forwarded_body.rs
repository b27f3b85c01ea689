use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::{CrashKeys, LimiterGuard, Member, Suspects};
use crate::id::AttemptId;
use crate::net::BodyError;

/// Counts an attempt as in flight at a member until dropped.
#[derive(Debug)]
pub(super) struct InFlight {
    member: Arc<Member>,
    attempt: AttemptId,
}

impl InFlight {
    /// Starts counting an attempt.
    pub(super) fn start(
        member: Arc<Member>,
        attempt: AttemptId,
        keys: &CrashKeys,
        prefix: Option<u64>,
    ) -> Self {
        member.start_attempt(attempt, keys, prefix);
        Self { member, attempt }
    }

    /// The member that the attempt was sent to.
    pub(super) const fn member(&self) -> &Arc<Member> {
        &self.member
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.member.end_attempt(self.attempt);
    }
}

/// Body of a sidecar's response, forwarded to the caller unchanged. The request counts as in flight
/// until the body is dropped, and is no longer a suspect once the body is forwarded completely.
#[derive(Debug)]
pub struct ForwardedBody {
    body: Incoming,
    keys: CrashKeys,
    suspects: Arc<Suspects>,
    _in_flight: InFlight,
    _guard: LimiterGuard,
}

impl ForwardedBody {
    pub(super) const fn new(
        body: Incoming,
        keys: CrashKeys,
        suspects: Arc<Suspects>,
        in_flight: InFlight,
        guard: LimiterGuard,
    ) -> Self {
        Self { body, keys, suspects, _in_flight: in_flight, _guard: guard }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.suspects.clear_all(&self.keys);
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
