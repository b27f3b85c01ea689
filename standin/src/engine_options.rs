use std::time::Duration;

/// Options of a model engine stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// Max requests that run at a time.
    pub slots: usize,
    /// Time between two tokens.
    pub token_time: Duration,
    /// Time to process a prompt whose prefix is not cached.
    pub prefill_time: Duration,
    /// Max prompt prefixes in the cache.
    pub cache_capacity: usize,
    /// Whether orders with an old fencing token are refused.
    pub check_fences: bool,
    /// Time to load a model.
    pub load_time: Duration,
    /// Number of newest cache events that readers do not see yet.
    pub delayed_events: usize,
    /// Cache events whose number is a multiple of this are lost; 0 loses none.
    pub event_loss_interval: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            token_time: Duration::from_millis(5),
            prefill_time: Duration::from_millis(20),
            cache_capacity: 64,
            check_fences: true,
            load_time: Duration::from_millis(100),
            delayed_events: 2,
            event_loss_interval: 7,
        }
    }
}
