use std::net::SocketAddr;

/// There is a newer revision of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// The revision.
    pub revision: u64,
    /// Peer that has it in force; the platform has it if there is none.
    pub peer: Option<SocketAddr>,
}
