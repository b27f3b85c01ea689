use crate::net::{AnswerBody, ChannelBody};

/// Body of a response to a caller.
pub type DirectBody = AnswerBody<ChannelBody>;
