use super::forwarded_body::ForwardedBody;
use crate::net::{AnswerBody, ChannelBody, EitherBody};

/// Body of an entry's response. A streamed body is either forwarded as the sidecar sends it, or
/// relayed by a task that joins the streams of one or more attempts.
pub type EntryBody = AnswerBody<EitherBody<Box<ForwardedBody>, ChannelBody>>;
