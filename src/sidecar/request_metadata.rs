use std::time::Duration;

use http::HeaderMap;
use smallvec::SmallVec;

use crate::entry::CrashKeys;
use crate::id::AttemptId;
use crate::net::{
    ACCOUNT, ATTEMPT, COST, DEADLINE_MS, FINGERPRINT, IDEMPOTENCY_KEY, PRIORITY, PROMPT_PARTS,
    REPEAT, SERVICE, SUSPECT, WEIGHT, header_millis, header_str,
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
    /// Fingerprints of the request and of the parts of its prompt, the same in each attempt.
    pub crash_keys: CrashKeys,
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
            crash_keys: CrashKeys {
                request: u64::from_str_radix(text(&FINGERPRINT)?, 16).ok()?,
                parts: read_parts(text(&PROMPT_PARTS).unwrap_or_default())?,
            },
            suspect: headers.contains_key(SUSPECT),
            key: text(&IDEMPOTENCY_KEY).map(str::to_owned),
        })
    }
}

/// Reads fingerprints; `None` if one is invalid.
fn read_parts(text: &str) -> Option<SmallVec<[u64; 4]>> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(|part| u64::from_str_radix(part, 16).ok()).collect()
}
