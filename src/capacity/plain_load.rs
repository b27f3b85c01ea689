use std::time::Duration;

use crate::direct::Admission;

/// Bounds of the retry-after time.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));

/// Load of an upstream of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainLoad {
    /// Number of requests, running and waiting.
    pub requests: f64,
    /// Number of requests that run concurrently, if it is known.
    pub slots: Option<u32>,
    /// Mean response time of a request that does not wait, if it is known.
    pub time: Option<Duration>,
}

impl PlainLoad {
    /// Returns the response time of the next request, or `None` if a slot may be free.
    fn response_time(&self) -> Option<Duration> {
        let slots = f64::from(self.slots?.max(1));
        let queued = (self.requests + 1.0) / slots;
        let seconds = self.time?.as_secs_f64() * queued;
        // The load is an estimate; below the number of slots, a slot may be free.
        (self.requests >= slots).then(|| Duration::try_from_secs_f64(seconds).ok()).flatten()
    }
}

/// Decides whether to send a request of which the caller wants the response in the time `left`. It
/// is refused only if every upstream has a queue and none can respond in time.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::capacity::{PlainLoad, admit_plain};
/// # use ebonyusher::direct::Admission;
/// let time = Some(Duration::from_millis(100));
/// let full = PlainLoad { requests: 29.0, slots: Some(6), time };
/// let free = PlainLoad { requests: 5.0, ..full };
/// let left = Duration::from_millis(400);
/// assert!(matches!(admit_plain([full], left), Admission::Refuse(_)));
/// assert_eq!(admit_plain([full], left * 2), Admission::Admit);
/// assert_eq!(admit_plain([full, free], left), Admission::Admit);
/// ```
pub fn admit_plain(upstreams: impl IntoIterator<Item = PlainLoad>, left: Duration) -> Admission {
    let mut soonest = None;
    for upstream in upstreams {
        let Some(time) = upstream.response_time().filter(|time| *time > left) else {
            return Admission::Admit;
        };
        soonest = soonest.into_iter().chain([time]).min();
    }
    let (min, max) = RETRY_AFTER_RANGE;
    soonest.map_or(Admission::Admit, |soonest| Admission::Refuse((soonest - left).clamp(min, max)))
}
