use serde::Deserialize;

/// A change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a jump shows that some are missing.
    pub seq: u64,
    /// Prompt prefix that came in.
    pub stored: Option<u64>,
    /// Prompt prefix that went out.
    pub removed: Option<u64>,
}
