//! Random identifiers.

mod attempt_id;
mod incarnation;
mod random_id;

pub use attempt_id::AttemptId;
pub use incarnation::Incarnation;
use random_id::random_id;
