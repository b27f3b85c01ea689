//! Attempts at upstreams: connections, exchanges, and how they end.

mod announcements;
mod attempt_history;
mod connection;
mod failed_attempt;
mod framing;
mod header_watch;
mod open_attempt;
mod pause;
mod read_body;
mod send;

pub(super) use attempt_history::AttemptHistory;
pub(super) use connection::{Connection, SendError};
pub(super) use failed_attempt::FailedAttempt;
pub(super) use framing::is_close_delimited;
pub(super) use header_watch::HeaderWatch;
pub(super) use open_attempt::OpenAttempt;
pub(super) use pause::requested_pause;
