//! Responses to callers.

mod body;
mod body_memory;
mod refusal_response;
mod relay;
mod request_tracker;
mod stream_progress;

pub use body::DirectBody;
pub use body_memory::{BodyMemory, BodyShare};
pub(super) use refusal_response::refusal_response;
pub(super) use relay::{EventTiming, Relay};
pub(super) use request_tracker::RequestTracker;
pub(super) use stream_progress::StreamProgress;
