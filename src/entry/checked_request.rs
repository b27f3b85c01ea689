use bytes::Bytes;
use http::request::Parts;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::CrashKeys;
use crate::net::RequestEnd;
use crate::settings::{Priority, Repeat, Service};

/// A caller's request that has passed the entry's checks and is ready to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct CheckedRequest {
    /// Method, URI and headers as the caller sent them. When a stream is resumed, the id of its
    /// last event is added.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// Client account, as `team/account`.
    pub account: String,
    /// Service, as `team/service`.
    pub service_name: String,
    /// The service's settings.
    pub service: Service,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Weight of the account.
    pub weight: f64,
    /// Priority of the account.
    pub priority: Priority,
    /// Estimated cost in output tokens; 1 for a request to a plain service.
    pub cost: f64,
    /// Hash of the prompt prefix, if the prompt is long enough to have one.
    pub prefix: Option<u64>,
    /// Fingerprints that identify the request and the parts of its prompt if it crashes upstreams.
    pub crash_keys: CrashKeys,
    /// When the whole response must have arrived.
    pub deadline: Instant,
    /// Idempotency key, from the caller or generated for this request.
    pub key: Option<String>,
    /// Instance names of the upstreams that have been tried.
    pub tried: SmallVec<[String; 4]>,
}

impl CheckedRequest {
    /// Returns what tells whether it ends in time.
    pub(super) fn end(&self) -> RequestEnd {
        RequestEnd { deadline: self.deadline, may_rerun: self.repeat.may_rerun() }
    }
}
