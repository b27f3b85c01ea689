//! Durations and sizes that carry their unit in JSON, times on the boot clock and in Unix seconds.

mod boot_time;
mod millis;
mod size;
mod span;
mod unix_time;

pub use boot_time::BootTime;
pub use millis::millis;
pub use size::Size;
pub use span::Span;
pub use unix_time::{unix_millis, unix_seconds};
