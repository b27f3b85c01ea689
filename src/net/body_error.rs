use displaydoc::Display;
use thiserror::Error;

/// Reasons why a body ends before it is complete.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum BodyError {
    /// the connection to the peer failed: {0}
    Peer(#[from] hyper::Error),
    /// the response is incomplete
    Truncated,
    /// an event of the stream is larger than allowed
    EventTooLarge,
    /// the deadline has passed
    Deadline,
    /// the writer of the body was dropped before it closed the body
    Abandoned,
}
