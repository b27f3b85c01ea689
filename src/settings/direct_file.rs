use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Settings of an entry that sends straight to upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DirectFile {
    /// Name of this instance.
    pub name: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer before the entries asks whether it may send callers.
    pub readiness: SocketAddr,
    /// Where counters are read, nowhere if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Seconds after a stop signal in which the process must have ended.
    pub grace_seconds: f64,
    /// Age in milliseconds that settings may have for keys to be judged by them, no bound if
    /// absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_age_ms: Option<f64>,
    /// What may be sent again.
    pub retries: RetrySettings,
}

/// How many requests all entries together may send again.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Share of the requests of a window.
    pub share: f64,
    /// Length of the window in seconds.
    pub window_seconds: f64,
    /// Requests beyond the share, for all entries together.
    pub slack: f64,
    /// Entries that the slack is divided among.
    #[serde(default = "default_entries")]
    pub entries: f64,
}

/// Entries that may exist at a time where the settings don't tell.
const fn default_entries() -> f64 {
    16.0
}
