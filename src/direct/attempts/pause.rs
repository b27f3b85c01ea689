use std::time::Duration;

use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderValue, StatusCode};

/// Returns for how long the upstream that refused a request wants no more from this entry, if it
/// says so. Of several readable times the longest holds. Dates are not read: the clocks of
/// instances differ.
pub(in crate::direct) fn requested_pause(head: &Parts) -> Option<Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let times = head.headers.get_all(RETRY_AFTER).iter().filter_map(seconds);
    times.max().filter(|pause| !pause.is_zero())
}

fn seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
