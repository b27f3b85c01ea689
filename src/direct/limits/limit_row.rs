use serde::{Deserialize, Serialize};

/// What an upstream last said of its limit, as far as an entry knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RowLimit {
    /// Id of the upstream.
    pub upstream: String,
    /// Start time of the incarnation, if the platform lists it.
    pub incarnation: Option<u64>,
    /// Requests per second from all entries together, `None` if the limit has ended.
    pub rate: Option<f64>,
    /// Unix time in milliseconds of the response that said so.
    pub heard: u64,
}

/// What an entry tells the others: the limits that it knows, and that it lives.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitRow {
    /// Number of the write, which rises with each renewal.
    pub renewal: u64,
    /// The limits.
    pub limits: Vec<RowLimit>,
}
