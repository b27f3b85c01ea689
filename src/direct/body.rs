use crate::net::{AnswerBody, ChannelBody};

/// Body of an answer to a caller.
pub type DirectBody = AnswerBody<ChannelBody>;
