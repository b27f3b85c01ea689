use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// A sidecar's own settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SidecarFile {
    /// Name of this instance in the platform's list.
    pub name: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Service that the upstream belongs to, as `team/service`.
    pub service: String,
    /// Where entries send requests.
    pub listen: SocketAddr,
    /// Where the system's own processes connect.
    pub peer: SocketAddr,
    /// The upstream beside this sidecar.
    pub upstream: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Peer addresses to ask for settings while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by the system's own processes.
    pub link_key: String,
    /// How often the platform is asked for a newer revision when no entry has told of one.
    #[serde(default = "default_poll")]
    pub poll: Span,
    /// How often load is reported to each linked entry.
    #[serde(default = "default_report")]
    pub report: Span,
    /// Longest wait for requests in flight at shutdown.
    #[serde(default = "default_grace")]
    pub grace: Span,
    /// Where metrics are sent in the statsd format, nowhere if absent.
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
