//! Whether a request ran, and why it was refused.

mod kind;
mod reason;
mod refusal;

pub use kind::Outcome;
pub use reason::Reason;
pub use refusal::{PROBLEM_JSON, Problem, Refusal};
