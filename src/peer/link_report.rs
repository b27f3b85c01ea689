use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{CrashReport, Load};
use crate::id::Incarnation;

/// Identifies and authenticates an entry when it opens a link or calls a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Link key, the secret shared by the system's own processes.
    pub key: String,
    /// Incarnation of the entry.
    pub from: Incarnation,
    /// Address at which the entry serves its settings.
    pub peer: SocketAddr,
}

/// A sidecar's report to each linked entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LinkReport {
    /// Incarnation of the sidecar.
    #[serde(rename = "i")]
    pub from: Incarnation,
    /// Whether it accepts no new requests because it is leaving or drained.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether its upstream accepts connections.
    #[serde(rename = "u")]
    pub up: bool,
    /// Load of the upstream.
    #[serde(rename = "l")]
    pub load: Load,
    /// Maximum time until the next report, in milliseconds.
    #[serde(rename = "t")]
    pub next_ms: u32,
    /// Revision of the settings in force in the sidecar.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Crashes since the last report.
    #[serde(rename = "c", default, skip_serializing_if = "SmallVec::is_empty")]
    pub crashes: SmallVec<[CrashReport; 1]>,
    /// Prompt prefixes that the upstream has cached since the last report.
    #[serde(rename = "p", default, skip_serializing_if = "SmallVec::is_empty")]
    pub cached: SmallVec<[u64; 4]>,
    /// Prompt prefixes that the upstream has evicted from its cache since the last report.
    #[serde(rename = "e", default, skip_serializing_if = "SmallVec::is_empty")]
    pub evicted: SmallVec<[u64; 4]>,
}
