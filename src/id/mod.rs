//! Random identifiers.

mod attempt;
mod incarnation;
mod random_id;

pub use attempt::Attempt;
pub use incarnation::Incarnation;
use random_id::random_id;
