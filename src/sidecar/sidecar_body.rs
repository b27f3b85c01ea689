use super::relay::Relay;
use crate::net::AnswerBody;

/// Body of a sidecar's responses. A stream is relayed as the upstream writes it.
pub type SidecarBody = AnswerBody<Box<Relay>>;
