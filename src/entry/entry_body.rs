use crate::net::{AnswerBody, BufferedBody};

/// Body of an entry's response. A streamed body is read from the sidecar, or from the task that joins
/// the streams of one or more attempts, whatever its caller takes of it.
pub type EntryBody = AnswerBody<BufferedBody>;
