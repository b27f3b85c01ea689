use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Machine, Operator};
use crate::units::Span;

/// An entry's settings file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EntryFile {
    /// Name of this instance in the platform's list.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Other failure domains by distance, nearest first.
    #[serde(default)]
    pub near: Vec<String>,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for operators.
    pub admin: SocketAddr,
    /// Listen address for other entries and sidecars.
    pub peer: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses from which settings are requested while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all entries and sidecars.
    pub link_key: String,
    /// Operators and the subtrees that they may change.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Interval at which the platform is polled for a newer revision and the list of instances.
    #[serde(default = "default_poll")]
    pub poll: Span,
    /// Number of upstreams of a service that this entry keeps links to. It keeps more if there are
    /// few entries.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Maximum wait for requests in flight at shutdown.
    #[serde(default = "default_grace")]
    pub grace: Span,
    /// What the machine allows. Bounds what is held for callers, and their connections.
    #[serde(default = "default_machine")]
    pub machine: Machine,
    /// Address to which metrics are sent in the statsd format, not sent if absent.
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

const fn default_machine() -> Machine {
    Machine::NODE
}
