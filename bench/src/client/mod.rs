//! A caller.

mod caller;
mod reply;

pub use caller::{Caller, CallerError};
pub use reply::Reply;
