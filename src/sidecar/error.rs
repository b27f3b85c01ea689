use std::io;

use displaydoc::Display;
use thiserror::Error;

use crate::metrics::MeterError;
use crate::outcome::{Reason, Refusal};

/// Reasons why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum QueueError {
    /// the wait for a slot would be too long
    Overload,
    /// the request can't end before its deadline
    Deadline,
    /// the queue is closed
    Closed,
}

impl From<QueueError> for Refusal {
    fn from(err: QueueError) -> Self {
        Self::not_run(match err {
            QueueError::Overload => Reason::Overload,
            QueueError::Deadline => Reason::Deadline,
            QueueError::Closed => Reason::Leaving,
        })
    }
}

/// Reasons why a claim on an idempotency key fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ClaimError {
    /// the platform's table gave no definite answer
    StoreDown,
}

/// Failures of a request to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum SendError {
    /// the upstream does not accept connections
    NotSent,
    /// the upstream closed the connection before the response ended
    Broken,
    /// the upstream did not answer in time
    Timeout,
}

impl From<SendError> for Refusal {
    fn from(err: SendError) -> Self {
        match err {
            SendError::NotSent => Self::not_run(Reason::UpstreamDown),
            SendError::Broken => Self::unknown(Reason::UpstreamLost),
            SendError::Timeout => Self::unknown(Reason::UpstreamTimeout),
        }
    }
}

/// Reasons why a process fails to start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum NodeError {
    /// can't listen: {0}
    Listen(#[from] io::Error),
    /// {0}
    Meter(#[from] MeterError),
}
