use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::{BodyLimits, CollectError, discard, receive};
use crate::memory::MemoryBudget;

/// Time for a last answer to leave before its connection is cut off.
const ANSWER_TIME: Duration = Duration::from_millis(50);
/// Time for which the rest of a body is read that there is no memory for.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Times of a process that shuts down gracefully.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// When the shutdown began.
    pub begun_at: Instant,
    /// Until when new connections are expected, since the balancer has not noticed the shutdown.
    pub accepts_until: Instant,
    /// When requests in flight are cut off.
    pub ends_at: Instant,
}

/// What tells whether a request ends in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// When the request has ended at the latest, by its own time limit.
    pub deadline: Instant,
    /// Whether it may run again elsewhere.
    pub may_rerun: bool,
}

/// Whether the process shuts down, and which requests it still begins. Clones share it.
///
/// A request that may run only once is begun if it must end, by its own time limit, before the
/// process does: if it were cut off, its caller could not send it again. One that may run again is
/// also begun for as long as new connections are expected.
#[derive(Clone, Debug, Default)]
pub struct Draining(watch::Sender<Option<DrainTimes>>);

impl Draining {
    /// Begins the shutdown.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::net::{DrainTimes, Draining, RequestEnd};
    /// # use tokio::time::Instant;
    /// let (draining, now) = (Draining::default(), Instant::now());
    /// let (accepts_until, ends_at) = (now + Duration::from_secs(2), now + Duration::from_secs(7));
    /// draining.begin(DrainTimes { begun_at: now, accepts_until, ends_at });
    /// let order = RequestEnd { deadline: now + Duration::from_secs(3), may_rerun: false };
    /// assert!(draining.may_start(order));
    /// let long_order = RequestEnd { deadline: now + Duration::from_secs(8), ..order };
    /// assert!(!draining.may_start(long_order));
    /// assert!(draining.may_start(RequestEnd { may_rerun: true, ..long_order }));
    /// ```
    pub fn begin(&self, times: DrainTimes) {
        self.0.send_replace(Some(times));
    }

    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Returns whether a request may be begun now.
    pub fn may_start(&self, end: RequestEnd) -> bool {
        let times = *self.0.borrow();
        let refused_at = times.and_then(|times| times.refused_at(end));
        refused_at.is_none_or(|at| at > Instant::now())
    }

    /// Waits until the request may no longer be begun.
    async fn until_refused(&self, end: RequestEnd) {
        let mut changes = self.0.subscribe();
        loop {
            let times = *changes.borrow_and_update();
            if let Some(times) = times {
                return match times.refused_at(end) {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                };
            }
            if changes.changed().await.is_err() {
                return pending().await;
            }
        }
    }

    /// Reads the body of a request like [`receive`], unless the request may no longer be begun.
    ///
    /// # Errors
    /// As [`receive`], and [`CollectError::Draining`].
    pub async fn collect<B>(
        &self,
        mut body: B,
        limits: BodyLimits,
        end: RequestEnd,
        memory: &MemoryBudget,
    ) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
    {
        let read = tokio::select! {
            biased;
            () = self.until_refused(end) => Err(CollectError::Draining),
            read = receive(&mut body, limits, memory) => read,
        };
        match read {
            Err(CollectError::Draining) => drop(tokio::spawn(discard(body, limits.max_time))),
            Err(CollectError::NoMemory) => drop(tokio::spawn(discard(body, DISCARD_TIME))),
            _ => {}
        }
        read
    }
}

impl DrainTimes {
    /// Returns from when on a request is not begun, or `None` if it always ends in time.
    fn refused_at(&self, end: RequestEnd) -> Option<Instant> {
        let is_late = end.deadline + ANSWER_TIME > self.ends_at;
        is_late.then_some(if end.may_rerun { self.accepts_until } else { self.begun_at })
    }
}
