use http::HeaderName;

/// Outcome of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("ebonyusher-outcome");
/// Reason why the request was refused or failed.
pub const REASON: HeaderName = HeaderName::from_static("ebonyusher-reason");
/// Time allowed for the whole response, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("ebonyusher-deadline-ms");
/// Id of the attempt, echoed in the response.
pub const ATTEMPT: HeaderName = HeaderName::from_static("ebonyusher-attempt");
/// Client account, as `team/account`.
pub const ACCOUNT: HeaderName = HeaderName::from_static("ebonyusher-account");
/// Service, as `team/service`.
pub const SERVICE: HeaderName = HeaderName::from_static("ebonyusher-service");
/// Whether the request may run again.
pub const REPEAT: HeaderName = HeaderName::from_static("ebonyusher-repeat");
/// Estimated cost in tokens.
pub const COST: HeaderName = HeaderName::from_static("ebonyusher-cost");
/// Priority of the request.
pub const PRIORITY: HeaderName = HeaderName::from_static("ebonyusher-priority");
/// Weight of the client account.
pub const WEIGHT: HeaderName = HeaderName::from_static("ebonyusher-weight");
/// Fingerprint of the request, for finding those that crash upstreams.
pub const FINGERPRINT: HeaderName = HeaderName::from_static("ebonyusher-fingerprint");
/// Fingerprints of the shared parts of the prompt, in hexadecimal digits, separated by commas.
pub const PROMPT_PARTS: HeaderName = HeaderName::from_static("ebonyusher-prompt-parts");
/// Present if the request was in flight at a crash.
pub const SUSPECT: HeaderName = HeaderName::from_static("ebonyusher-suspect");
/// Hash of the prompt prefix, by which the engine names it in its cache events.
pub const PREFIX: HeaderName = HeaderName::from_static("ebonyusher-prefix");
/// Secret shared by the system's own processes.
pub const LINK_KEY: HeaderName = HeaderName::from_static("ebonyusher-link-key");
/// Load of the sidecar, in a response.
pub const LOAD: HeaderName = HeaderName::from_static("ebonyusher-load");
/// Present in a response that was stored for an earlier request with the same key.
pub const REPLAYED: HeaderName = HeaderName::from_static("ebonyusher-replayed");
/// The caller's key for a request that must not run twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of the last server-sent event that the client has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
