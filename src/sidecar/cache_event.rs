use serde::Deserialize;

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event. A gap shows that events are missing.
    pub seq: u64,
    /// Hash of the prompt prefix that was added.
    pub stored: Option<u64>,
    /// Hash of the prompt prefix that was evicted.
    pub removed: Option<u64>,
}
