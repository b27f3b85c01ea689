use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::timeout;

use crate::outcome::Reason;

/// Reasons why a body can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum CollectError {
    /// the body is larger than allowed
    TooLarge,
    /// the body ended before it was complete
    Broken,
    /// the body was not received in time
    Slow,
    /// the process shuts down before the request can end
    Draining,
    /// the process holds as much for its callers as it may
    NoMemory,
}

impl From<CollectError> for Reason {
    fn from(err: CollectError) -> Self {
        match err {
            CollectError::TooLarge => Self::BodyTooLarge,
            CollectError::Broken | CollectError::Slow => Self::BodyBroken,
            CollectError::Draining => Self::Leaving,
            CollectError::NoMemory => Self::NoMemory,
        }
    }
}

/// Limits for a body that is read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Largest size in bytes.
    pub max_bytes: u64,
    /// Longest time for it to arrive.
    pub max_time: Duration,
}

/// Reads a whole body into memory, within a limit of size and of time.
///
/// # Errors
/// [`CollectError`] names the limit that was exceeded, or reports that the body is incomplete.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::net::{CollectError, collect};
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let body = http_body_util::Full::new(bytes::Bytes::from("four"));
/// let read = collect(body, 3, Duration::from_secs(1)).await;
/// assert_eq!(read, Err(CollectError::TooLarge));
/// # });
/// ```
pub async fn collect<B>(body: B, max_bytes: u64, max_time: Duration) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes>,
{
    let min_bytes = body.size_hint().lower();
    if min_bytes > max_bytes {
        return Err(CollectError::TooLarge);
    }
    timeout(max_time, read_all(body, max_bytes)).await.unwrap_or(Err(CollectError::Slow))
}

async fn read_all<B: Body<Data = Bytes>>(body: B, max_bytes: u64) -> Result<Bytes, CollectError> {
    let mut body = std::pin::pin!(body);
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| CollectError::Broken)?.into_data() else {
            continue;
        };
        total += data.len() as u64;
        if total > max_bytes {
            return Err(CollectError::TooLarge);
        }
        if first.is_empty() && rest.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
        }
        rest.extend_from_slice(&data);
    }
    Ok(if rest.is_empty() { first } else { rest.freeze() })
}
