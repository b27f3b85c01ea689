//! What a process may hold for its callers, and who gives way once that is used up.

mod body_buffer;
mod caller_wait;
mod leased_bytes;
mod memory_budget;
mod memory_lease;

pub use body_buffer::BodyBuffer;
pub use caller_wait::CallerWait;
pub use memory_budget::{MemoryBudget, MemoryUse};
pub use memory_lease::{MemoryLease, OutOfMemory};
