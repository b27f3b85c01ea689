use super::relay::Relay;
use crate::net::AnswerBody;

/// Body of a sidecar's answers; a stream is passed on as the upstream writes it.
pub type SidecarBody = AnswerBody<Box<Relay>>;
