use http::HeaderName;

/// Names of the headers that callers, entry and upstreams of a deployment agree on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of a caller's attempt, echoed by the upstream.
    pub attempt: HeaderName,
    /// Time that is left for the answer, in milliseconds.
    pub deadline: HeaderName,
    /// Client account, for the upstream.
    pub account: HeaderName,
    /// Id of the upstream that a request is meant for.
    pub upstream: HeaderName,
    /// Present in an answer of an upstream that did not run the request.
    pub not_run: HeaderName,
    /// Load of the upstream: running, waiting, slots.
    pub load: HeaderName,
    /// Present in every answer that an upstream made itself.
    pub seal: HeaderName,
    /// Urgency of a request, 0 first.
    pub urgency: HeaderName,
    /// Tokens of the prompt, and most tokens of the answer.
    pub tokens: HeaderName,
}
