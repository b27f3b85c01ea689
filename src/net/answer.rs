use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use super::{OUTCOME, REASON};
use crate::outcome::{PROBLEM_JSON, Refusal};

/// Makes a response with a JSON body.
pub fn json_answer<B: From<Bytes>, T: Serialize>(status: StatusCode, value: &T) -> Response<B> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(B::from(Bytes::from(body)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Makes a response with a plain text body.
pub fn text_answer<B: From<Bytes>>(status: StatusCode, text: &'static str) -> Response<B> {
    let mut answer = Response::new(B::from(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}

/// Makes the response that reports a refusal.
pub fn refusal_answer<B: From<Bytes>>(refusal: &Refusal) -> Response<B> {
    let mut answer = json_answer(refusal.reason.status(), &refusal.problem());
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    headers.insert(OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
    headers.insert(REASON, HeaderValue::from_static(refusal.reason.as_str()));
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
    }
    answer
}
