use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Machine;
use crate::units::Span;

/// A sidecar's settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SidecarFile {
    /// Name of this instance in the platform's list.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Service that the upstream belongs to, as `team/service`.
    pub service: String,
    /// Listen address for requests from entries.
    pub listen: SocketAddr,
    /// Listen address for other entries and sidecars.
    pub peer: SocketAddr,
    /// Address of the upstream beside this sidecar.
    pub upstream: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses from which settings are requested while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all entries and sidecars.
    pub link_key: String,
    /// Interval at which the platform is polled for a newer revision if no entry sends a hint of
    /// one; a hint restarts the interval.
    #[serde(default = "default_poll")]
    pub poll: Span,
    /// Interval at which load is reported to each linked entry.
    #[serde(default = "default_report")]
    pub report: Span,
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
    Span::from_millis(15_000)
}

const fn default_report() -> Span {
    Span::from_millis(2_000)
}

const fn default_grace() -> Span {
    Span::from_millis(60_000)
}

const fn default_machine() -> Machine {
    Machine::NODE
}
