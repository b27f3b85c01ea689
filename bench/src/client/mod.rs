//! HTTP client that sends requests as a client account.

mod caller;
mod reply;

pub use caller::{Caller, CallerError};
pub use reply::Reply;
