use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};

use crate::direct::DirectBody;
use crate::net::refusal_answer;
use crate::outcome::{Outcome, Reason, Refusal};

/// Builds the response to a request that is refused or has failed. Statuses that promise that the
/// request has not run are used only where that is certain.
pub(in crate::direct) fn refusal_response(refusal: &Refusal) -> Response<DirectBody> {
    let mut response = refusal_answer(refusal);
    *response.status_mut() = status(refusal);
    if let Some(wait) = refusal.retry_after {
        response.headers_mut().insert(RETRY_AFTER, retry_after_value(wait));
    }
    response
}

fn status(refusal: &Refusal) -> StatusCode {
    let status = refusal.reason.status();
    let is_quarantined = refusal.reason == Reason::Poison;
    match refusal.outcome {
        // A quarantined request may be repeated later, so the caller gets a retryable status.
        Outcome::NotRun if status.is_server_error() || is_quarantined => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Outcome::Unknown if status == StatusCode::SERVICE_UNAVAILABLE || is_quarantined => {
            StatusCode::BAD_GATEWAY
        }
        _ => status,
    }
}

/// Formats a retry-after time in fractional seconds: callers of a direct entry may retry within a
/// second.
fn retry_after_value(wait: Duration) -> HeaderValue {
    let text = format!("{:.3}", wait.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
