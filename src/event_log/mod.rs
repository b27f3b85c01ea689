//! Structured log: one JSON object per line on standard output. Its buffer and rate are bounded,
//! and it never blocks its callers.

mod level;
mod line;
mod writer;

pub use level::Level;
pub use writer::EventLog;
