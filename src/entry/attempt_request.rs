use bytes::Bytes;
use http::header::{AUTHORIZATION, CONNECTION, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, Version};
use http_body_util::Full;
use tokio::time::Instant;

use super::{Member, Order};
use crate::id::Attempt;
use crate::net::{
    ACCOUNT, ATTEMPT, COST, DEADLINE_MS, FINGERPRINT, IDEMPOTENCY_KEY, LINK_KEY, OUTCOME, PREFIX,
    PRIORITY, REASON, REPEAT, SERVICE, SUSPECT, WEIGHT,
};

/// The request of one attempt at a member; nothing if a header can't be written.
pub(super) fn attempt_request(
    order: &Order,
    member: &Member,
    attempt: Attempt,
    link_key: &str,
    suspect: bool,
) -> Option<Request<Full<Bytes>>> {
    let path = order.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = format!("http://{}{path}", member.instance.data).parse().ok()?;
    let mut request = Request::new(Full::new(order.body.clone()));
    *request.method_mut() = order.head.method.clone();
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_2;
    let headers = request.headers_mut();
    *headers = order.head.headers.clone();
    strip(headers);
    let left = order.deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut put = |name: HeaderName, value: &str| {
        headers.insert(name, HeaderValue::from_str(value).ok()?);
        Some(())
    };
    put(LINK_KEY, link_key)?;
    put(ATTEMPT, &attempt.to_string())?;
    put(ACCOUNT, &order.account)?;
    put(SERVICE, &order.name)?;
    put(REPEAT, order.repeat.as_str())?;
    put(DEADLINE_MS, &left.to_string())?;
    put(COST, &order.cost.to_string())?;
    put(WEIGHT, &order.weight.to_string())?;
    put(PRIORITY, order.priority.as_str())?;
    put(FINGERPRINT, &format!("{:016x}", order.print))?;
    if let Some(key) = &order.key {
        put(IDEMPOTENCY_KEY, key)?;
    }
    if let Some(prefix) = order.prefix {
        put(PREFIX, &format!("{prefix:016x}"))?;
    }
    if suspect {
        put(SUSPECT, "true")?;
    }
    Some(request)
}

/// Takes off what concerns only the caller's connection, and what only this system may say.
fn strip(headers: &mut HeaderMap) {
    let own = [HOST, CONNECTION, AUTHORIZATION, LINK_KEY, SUSPECT, PREFIX, OUTCOME, REASON];
    for name in own {
        headers.remove(name);
    }
    for name in ["x-api-key", "transfer-encoding", "keep-alive", "te", "upgrade"] {
        headers.remove(name);
    }
    headers.remove("content-length");
}
