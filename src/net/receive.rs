use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::{BodyLimits, CollectError};
use crate::memory::{BodyBuffer, CallerWait, MemoryBudget, MemoryLease};

/// Reads a caller's whole body into memory that is taken from a budget: before it is read as far as
/// its size is announced, otherwise as it grows. The bytes are given back once the body and all
/// clones of it are dropped.
///
/// # Errors
/// [`CollectError`] names the limit that was exceeded, or reports that the body is incomplete.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::memory::MemoryBudget;
/// # use ebonyusher::net::{BodyLimits, CollectError, receive};
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let memory = MemoryBudget::new(1 << 10);
/// let limits = BodyLimits { max_bytes: 1 << 10, max_time: Duration::from_secs(1) };
/// let mut body = http_body_util::Full::new(bytes::Bytes::from("four"));
/// let read = receive(&mut body, limits, &memory).await.unwrap();
/// assert_eq!((read.len(), memory.usage().held), (4, 4));
/// # });
/// ```
pub async fn receive<B>(
    body: &mut B,
    limits: BodyLimits,
    memory: &MemoryBudget,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().lower();
    if announced > limits.max_bytes {
        return Err(CollectError::TooLarge);
    }
    let announced = usize::try_from(announced).map_err(|_| CollectError::TooLarge)?;
    let mut lease = memory.lease();
    lease.grow(announced).await.map_err(|_| CollectError::NoMemory)?;
    let mut wait = memory.wait_for_caller();
    let displaced = wait.displaced();
    let max_bytes = usize::try_from(limits.max_bytes).unwrap_or(usize::MAX);
    let reading = read_leased(body, max_bytes, announced, &mut lease, &mut wait);
    let read = tokio::select! {
        read = timeout(limits.max_time, reading) => read.unwrap_or(Err(CollectError::Slow))?,
        () = displaced => return Err(CollectError::NoMemory),
    };
    Ok(lease.hold(read))
}

/// Reads the rest of a body without keeping it, for a time. A connection that closes before the
/// body is read is reset, and the refusal that was sent would be lost.
pub async fn discard<B>(mut body: B, max_time: Duration)
where
    B: Body<Data = Bytes> + Unpin,
{
    let reading = async { while matches!(body.frame().await, Some(Ok(_))) {} };
    timeout(max_time, reading).await.ok();
}

async fn read_leased<B>(
    body: &mut B,
    max_bytes: usize,
    announced: usize,
    lease: &mut MemoryLease,
    wait: &mut CallerWait,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    // Pages are for what is announced, if it is.
    let may_come = if announced > 0 { announced } else { max_bytes };
    let mut read = BodyBuffer::new(announced, may_come);
    wait.expect(announced);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| CollectError::Broken)?.into_data() else {
            continue;
        };
        let total = read.len() + data.len();
        if total > max_bytes {
            return Err(CollectError::TooLarge);
        }
        if total > announced {
            lease.grow(data.len()).await.map_err(|_| CollectError::NoMemory)?;
            wait.expect(total);
        }
        read.extend(&data);
        wait.moved(data.len());
    }
    Ok(read.freeze())
}
