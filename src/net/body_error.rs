use displaydoc::Display;
use thiserror::Error;

/// Why a body broke off.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum BodyError {
    /// the peer broke off: {0}
    Peer(#[from] hyper::Error),
    /// the answer is not whole
    Truncated,
    /// the deadline has passed
    Deadline,
    /// the writer of the body is gone
    Abandoned,
}
