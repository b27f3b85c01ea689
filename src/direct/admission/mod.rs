//! Which requests are sent, where to, and how often again.

mod choice;
mod engine_load;
mod evacuated;
mod learned_choice;
mod pick;
mod pick_group;
mod retry_budget;
mod return_queue;
mod stream_stats;

pub use choice::{Candidate, OtherEntriesLoad, choose, estimate_loads, load_share};
pub use engine_load::{Admission, EngineLoad, LatencyTargets};
pub(super) use pick::Chosen;
pub use retry_budget::{Charge, RetryBudget, RetryLimits};
pub use return_queue::ReturnQueue;
pub use stream_stats::StreamStats;
