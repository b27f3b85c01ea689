//! Quantities that carry their unit in JSON.

mod size;
mod span;

pub use size::Size;
pub use span::Span;
