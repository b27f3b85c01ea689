//! Quantities that carry their unit in JSON.

mod boot_time;
mod size;
mod span;

pub use boot_time::BootTime;
pub use size::Size;
pub use span::Span;
