use std::net::SocketAddr;

/// Announces that there is a newer revision of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// The revision.
    pub revision: u64,
    /// Peer that has it in force and to fetch it from, `None` to fetch it from the platform.
    pub peer: Option<SocketAddr>,
}
