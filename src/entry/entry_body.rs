use super::forwarded_body::ForwardedBody;
use crate::net::{AnswerBody, ChannelBody, EitherBody};

/// Body of an entry's answers. A stream is passed on as the sidecar sends it, or put together by a
/// task from one or more attempts.
pub type EntryBody = AnswerBody<EitherBody<Box<ForwardedBody>, ChannelBody>>;
