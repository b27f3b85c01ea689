use bytes::Bytes;
use http::header::{AUTHORIZATION, CONNECTION, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, Version};
use http_body_util::Full;
use tokio::time::Instant;

use super::{CheckedRequest, Member};
use crate::id::AttemptId;
use crate::net::{
    ACCOUNT, ATTEMPT, COST, DEADLINE_MS, FINGERPRINT, IDEMPOTENCY_KEY, LINK_KEY, OUTCOME, PREFIX,
    PRIORITY, PROMPT_PARTS, REASON, REPEAT, SERVICE, SUSPECT, WEIGHT,
};

/// Builds the request of one attempt at a member, `None` if its URI or a header is invalid.
pub(super) fn attempt_request(
    request: &CheckedRequest,
    member: &Member,
    attempt: AttemptId,
    link_key: &str,
    suspect: bool,
) -> Option<Request<Full<Bytes>>> {
    let path = request.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = format!("http://{}{path}", member.instance.data).parse().ok()?;
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = uri;
    *outgoing.version_mut() = Version::HTTP_2;
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    strip_headers(headers);
    let remaining = request.deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut put = |name: HeaderName, value: &str| {
        headers.insert(name, HeaderValue::from_str(value).ok()?);
        Some(())
    };
    put(LINK_KEY, link_key)?;
    put(ATTEMPT, &attempt.to_string())?;
    put(ACCOUNT, &request.account)?;
    put(SERVICE, &request.service_name)?;
    put(REPEAT, request.repeat.as_str())?;
    put(DEADLINE_MS, &remaining.to_string())?;
    put(COST, &request.cost.to_string())?;
    put(WEIGHT, &request.weight.to_string())?;
    put(PRIORITY, request.priority.as_str())?;
    put(FINGERPRINT, &format!("{:016x}", request.crash_keys.request))?;
    if !request.crash_keys.parts.is_empty() {
        put(PROMPT_PARTS, &hex_list(&request.crash_keys.parts))?;
    }
    if let Some(key) = &request.key {
        put(IDEMPOTENCY_KEY, key)?;
    }
    if let Some(prefix) = request.prefix {
        put(PREFIX, &format!("{prefix:016x}"))?;
    }
    if suspect {
        put(SUSPECT, "true")?;
    }
    Some(outgoing)
}

/// Returns numbers in hexadecimal digits, separated by commas.
fn hex_list(numbers: &[u64]) -> String {
    let texts: Vec<String> = numbers.iter().map(|number| format!("{number:x}")).collect();
    texts.join(",")
}

/// Removes the headers that concern only the caller's connection or its credentials, and those that
/// only this system may set.
fn strip_headers(headers: &mut HeaderMap) {
    let names =
        [HOST, CONNECTION, AUTHORIZATION, LINK_KEY, SUSPECT, PREFIX, PROMPT_PARTS, OUTCOME, REASON];
    for name in names {
        headers.remove(name);
    }
    for name in ["x-api-key", "transfer-encoding", "keep-alive", "te", "upgrade"] {
        headers.remove(name);
    }
    headers.remove("content-length");
}
