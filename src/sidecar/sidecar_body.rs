use crate::net::{AnswerBody, BufferedBody};

/// Body of a sidecar's responses. A stream is read as the upstream writes it, so that a caller that
/// does not read holds up no slot.
pub type SidecarBody = AnswerBody<BufferedBody>;
