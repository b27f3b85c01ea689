use std::time::Duration;

/// How a model engine stand-in behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// Requests in a batch.
    pub slots: usize,
    /// Time between two tokens.
    pub token_time: Duration,
    /// Time to read a prompt that is not cached.
    pub prefill_time: Duration,
    /// Prompt prefixes that the cache holds.
    pub cache_capacity: usize,
    /// Whether it refuses orders with an old fencing number.
    pub check_fences: bool,
    /// Time to load a model.
    pub load_time: Duration,
    /// Cache events that are held back.
    pub delayed_events: usize,
    /// Every so manieth cache event is lost, none if 0.
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
