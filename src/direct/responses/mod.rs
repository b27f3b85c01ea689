//! Responses to callers.

mod body;
mod refusal_response;
mod relay;
mod request_tracker;
mod stream_progress;

pub use body::DirectBody;
pub(super) use refusal_response::refusal_response;
pub(super) use relay::{EventTiming, Relay};
pub(super) use request_tracker::RequestTracker;
pub(super) use stream_progress::StreamProgress;
