use bytes::Bytes;
use http::request::Parts;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::settings::{Priority, Repeat, Service};

/// A request that has passed the entry's checks and is to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct CheckedRequest {
    /// Head as the caller sent it.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// Client account, as `team/account`.
    pub account: String,
    /// Service, as `team/service`.
    pub service_name: String,
    /// The service's settings.
    pub service: Service,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Weight of the account.
    pub weight: f64,
    /// Class of the request.
    pub priority: Priority,
    /// Estimated cost in tokens.
    pub cost: f64,
    /// Name of the prompt prefix.
    pub prefix: Option<u64>,
    /// Fingerprint, for finding requests that crash upstreams.
    pub fingerprint: u64,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// Idempotency key, the caller's or one made for this request.
    pub key: Option<String>,
    /// Upstreams that have been tried, by name.
    pub tried: SmallVec<[String; 4]>,
}
