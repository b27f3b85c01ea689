use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::timeout;

/// Why a body could not be read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum CollectError {
    /// the body is larger than allowed
    TooLarge,
    /// the body broke off
    Broken,
    /// the body came too slowly
    Slow,
}

/// Reads a whole body of at most so many bytes in at most so much time.
///
/// # Errors
/// [`CollectError`] says which bound was passed, or that the body broke off.
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
