use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::direct::dispatcher::Dispatcher;
use crate::memory::BodyBuffer;

/// Maximum size of a response body that is read whole.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a body can't be read to its end.
#[derive(Debug)]
pub(super) enum ReadError {
    Broken(hyper::Error),
    TooLarge,
}

impl Dispatcher {
    /// Reads a whole body as memory becomes free for it, which is held until the caller has it.
    pub(super) async fn read_body(&self, mut body: Incoming) -> Result<Bytes, ReadError> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > MAX_BODY_BYTES {
            return Err(ReadError::TooLarge);
        }
        let mut lease = self.memory.lease();
        lease.grow_when_free(announced).await;
        let may_come = if announced > 0 { announced } else { MAX_BODY_BYTES };
        let mut read = BodyBuffer::new(announced, may_come);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            let total = read.len() + data.len();
            if total > MAX_BODY_BYTES {
                return Err(ReadError::TooLarge);
            }
            if total > announced {
                lease.grow_when_free(data.len()).await;
            }
            read.extend(&data);
        }
        Ok(lease.hold(read.freeze()))
    }
}
