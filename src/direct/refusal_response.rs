use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};

use super::DirectBody;
use crate::net::refusal_answer;
use crate::outcome::{Outcome, Reason, Refusal};

/// Makes the answer to a request that is refused or given up. Statuses that promise that a request
/// has not run are given only where that is certain.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<DirectBody> {
    let mut response = refusal_answer(refusal);
    *response.status_mut() = status(refusal);
    if let Some(wait) = refusal.retry_after {
        response.headers_mut().insert(RETRY_AFTER, retry_after_value(wait));
    }
    response
}

fn status(refusal: &Refusal) -> StatusCode {
    let status = refusal.reason.status();
    match refusal.outcome {
        // To its caller a request that is held back is one that may come again.
        Outcome::NotRun if status.is_server_error() || refusal.reason == Reason::Poison => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Outcome::Unknown if status == StatusCode::SERVICE_UNAVAILABLE => StatusCode::BAD_GATEWAY,
        _ => status,
    }
}

/// Seconds with a fraction: callers of these deployments may come back within one.
fn retry_after_value(wait: Duration) -> HeaderValue {
    let text = format!("{:.3}", wait.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
