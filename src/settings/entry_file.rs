use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Operator;
use crate::units::Span;

/// An entry's own settings file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EntryFile {
    /// Name of this instance in the platform's list.
    pub name: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Failure domains by distance, nearest first, its own left out.
    #[serde(default)]
    pub near: Vec<String>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where the system's own processes connect.
    pub peer: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Peer addresses to ask for settings while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by the system's own processes.
    pub link_key: String,
    /// Operators and the subtrees they may change.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// How often the platform is asked for a newer revision and the list.
    #[serde(default = "default_poll")]
    pub poll: Span,
    /// Upstreams of one service that this entry keeps links to; more while entries are few.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Longest wait for requests in flight at shutdown.
    #[serde(default = "default_grace")]
    pub grace: Span,
    /// Where metrics are sent in the statsd format, nowhere if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub statsd: Option<SocketAddr>,
}

const fn default_poll() -> Span {
    Span::from_millis(2_000)
}

const fn default_subset() -> usize {
    6
}

const fn default_grace() -> Span {
    Span::from_millis(60_000)
}
