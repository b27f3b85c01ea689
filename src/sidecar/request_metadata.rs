use std::time::Duration;

use http::HeaderMap;

use crate::id::AttemptId;
use crate::net::{
    ACCOUNT, ATTEMPT, COST, DEADLINE_MS, FINGERPRINT, IDEMPOTENCY_KEY, PRIORITY, REPEAT, SERVICE,
    SUSPECT, WEIGHT, header_millis, header_str,
};
use crate::settings::{Priority, Repeat};

/// Metadata of a request, which the entry sends in headers.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMetadata {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Client account, as `team/account`.
    pub account: String,
    /// Service, as `team/service`.
    pub service: String,
    /// Whether the request may run again.
    pub repeat: Repeat,
    /// Time left for the whole response.
    pub time_left: Duration,
    /// Estimated cost in tokens.
    pub cost: f64,
    /// Weight of the account in the fair queue.
    pub weight: f64,
    /// Priority class of the request.
    pub priority: Priority,
    /// Fingerprint of the request, the same each time that the account sends it.
    pub fingerprint: u64,
    /// Whether the request was in flight at a crash.
    pub suspect: bool,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
}

impl RequestMetadata {
    /// Reads the metadata from the headers; `None` if a required header is absent or invalid.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name| header_str(headers, name);
        Some(Self {
            attempt: text(&ATTEMPT)?.parse().ok()?,
            account: text(&ACCOUNT)?.to_owned(),
            service: text(&SERVICE)?.to_owned(),
            repeat: Repeat::parse(text(&REPEAT)?)?,
            time_left: header_millis(headers, &DEADLINE_MS)?,
            cost: text(&COST)?.parse().ok().filter(|cost: &f64| *cost > 0.0)?,
            weight: text(&WEIGHT)?.parse().ok().filter(|weight: &f64| *weight > 0.0)?,
            priority: Priority::parse(text(&PRIORITY)?)?,
            fingerprint: u64::from_str_radix(text(&FINGERPRINT)?, 16).ok()?,
            suspect: headers.contains_key(SUSPECT),
            key: text(&IDEMPOTENCY_KEY).map(str::to_owned),
        })
    }
}
