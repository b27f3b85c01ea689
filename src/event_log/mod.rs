//! Structured log: one JSON object a line on standard output, bounded, never blocking its callers.

mod level;
mod line;
mod writer;

pub use level::Level;
pub use writer::EventLog;
