//! Durations and sizes that carry their unit in JSON, and times on the boot clock.

mod boot_time;
mod size;
mod span;

pub use boot_time::BootTime;
pub use size::Size;
pub use span::Span;
