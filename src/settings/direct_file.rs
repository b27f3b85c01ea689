use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Machine;

/// Settings file of an entry that sends requests directly to upstreams, without sidecars.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DirectFile {
    /// Name of this instance.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for the readiness checks of the load balancer in front of the entries.
    pub readiness: SocketAddr,
    /// Listen address for metrics, not served if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Seconds after a stop signal within which the process must have exited.
    pub grace_seconds: f64,
    /// Milliseconds after the platform lists an upstream as draining within which it must get no
    /// more requests.
    #[serde(default = "default_drain")]
    pub drain_ms: f64,
    /// Milliseconds, beside those, in which an entry must notice that its connection to the platform
    /// has gone silent.
    #[serde(default)]
    pub detection_ms: f64,
    /// Milliseconds after the operator evacuates a failure domain within which its upstreams must get
    /// no more requests. Shortens the calls that wait for changes, if it has to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuate_ms: Option<f64>,
    /// Maximum age in milliseconds of the settings by which keys are checked, no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_age_ms: Option<f64>,
    /// What the machine allows. Bounds what is held for callers, and their connections.
    #[serde(default = "default_machine")]
    pub machine: Machine,
    /// Limits of retries.
    pub retries: RetrySettings,
    /// Seconds after the third crash under a request for which the request is refused, before one
    /// trial. Four times as long after each further crash.
    #[serde(default = "default_quarantine")]
    pub quarantine_seconds: f64,
    /// Whether the speed and the capacity of upstreams are learned from requests. If absent, they
    /// are if the routes of an engine service have several priorities, or a service several groups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub learned_capacity: Option<bool>,
}

/// Limits of the retries that all entries together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Retries as a share of the requests in a window.
    pub share: f64,
    /// Length of the window in seconds.
    pub window_seconds: f64,
    /// Retries allowed in addition to the share, for all entries together.
    pub slack: f64,
    /// Maximum number of entries, among which the slack is divided as long as they don't know their
    /// shares of the load, and the limits that upstreams name as long as they don't know each other.
    #[serde(default = "default_entries")]
    pub entries: f64,
}

/// Default time in milliseconds in which entries must learn that an upstream is draining.
const fn default_drain() -> f64 {
    2_000.0
}

/// Default first quarantine time in seconds, in which operators can react to the crashes.
const fn default_quarantine() -> f64 {
    60.0
}

const fn default_machine() -> Machine {
    Machine::ENTRY
}

/// Default number of entries: the maximum that may run at the same time.
const fn default_entries() -> f64 {
    512.0
}
