/// What was known of a request and its upstream when it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    /// Work of the request, in usual requests.
    pub work: f64,
    /// Slowness of the upstream.
    pub slowness: f64,
    /// Number of requests at the upstream, this one included.
    pub load: f64,
    /// Response time at the usual speed, in a unit that is the same for all upstreams of the service.
    pub expected: f64,
    /// Whether the upstream is an engine. Engines of a group stall together.
    pub is_engine: bool,
}
