use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time from the first refusal of a group that has lost a rank until it runs again: the rank starts
/// anew, and the group forms.
const OUTAGE_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a group stalls before its ranks refuse requests.
const STALL_TIME: Duration = Duration::from_millis(1_500);
/// Least time after which callers are to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Part of the time between two refusals by which their callers return one after the other.
const RETURN_PACE: f64 = 0.4;

/// Detects that a service's engines, the ranks of one group, don't run: ranks refuse requests
/// although nothing runs or waits there. Another rank would refuse as well.
#[derive(Debug, Default)]
pub struct GroupOutage(Mutex<Option<Refusals>>);

/// Refusals without a response in between.
#[derive(Debug)]
struct Refusals {
    since: Instant,
    first_upstream: String,
}

impl GroupOutage {
    /// Records that an upstream on which nothing runs or waits has refused a request. Returns after
    /// which time the caller is to return, if this shows that the group does not run: callers
    /// return in the order in which they came, once the group usually runs again.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::GroupOutage;
    /// # use tokio::time::Instant;
    /// let (outage, now) = (GroupOutage::default(), Instant::now());
    /// assert_eq!(outage.record_refusal("u-1", now), None);
    /// assert_eq!(outage.record_refusal("u-2", now), Some(Duration::from_millis(2_500)));
    /// outage.record_response();
    /// assert_eq!(outage.record_refusal("u-2", now), None);
    /// ```
    pub fn record_refusal(&self, upstream: &str, now: Instant) -> Option<Duration> {
        let mut refusals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(refusals) = refusals.as_ref() else {
            *refusals = Some(Refusals { since: now, first_upstream: upstream.to_owned() });
            return None;
        };
        let time = now.saturating_duration_since(refusals.since);
        let is_group = refusals.first_upstream != upstream || time > OUTAGE_TIME;
        is_group.then(|| retry_after(time))
    }

    /// Records that an upstream runs a request.
    pub fn record_response(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

/// Returns after which time a caller is to return that comes so long after the first refusal.
fn retry_after(time: Duration) -> Duration {
    let left = (OUTAGE_TIME + time.mul_f64(RETURN_PACE)).saturating_sub(time);
    left.max(MIN_RETRY_AFTER)
}

/// Returns after which time a caller is to return to a group that has been stalled so long.
pub(in crate::direct) fn retry_after_stall(stalled: Duration) -> Duration {
    (STALL_TIME + OUTAGE_TIME).saturating_sub(stalled).max(MIN_RETRY_AFTER)
}
