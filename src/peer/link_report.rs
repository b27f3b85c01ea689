use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{CrashReport, Load};
use crate::id::Incarnation;

/// What an entry says of itself when it opens a link.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Secret shared by the system's own processes.
    pub key: String,
    /// The entry's present life.
    pub from: Incarnation,
    /// Where the entry answers calls for settings.
    pub peer: SocketAddr,
}

/// What a sidecar tells each linked entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LinkReport {
    /// The sidecar's present life.
    #[serde(rename = "i")]
    pub from: Incarnation,
    /// Whether it takes nothing new any more.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether its upstream accepts connections.
    #[serde(rename = "u")]
    pub up: bool,
    /// How busy the upstream is.
    #[serde(rename = "l")]
    pub load: Load,
    /// Longest time until the next note, in milliseconds.
    #[serde(rename = "t")]
    pub next_ms: u32,
    /// Revision of the settings in force there.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Crashes since the last note.
    #[serde(rename = "c", default, skip_serializing_if = "SmallVec::is_empty")]
    pub crashes: SmallVec<[CrashReport; 1]>,
    /// Prompt prefixes that the upstream's cache has gained since the last note.
    #[serde(rename = "p", default, skip_serializing_if = "SmallVec::is_empty")]
    pub cached: SmallVec<[u64; 4]>,
    /// Prompt prefixes that it has lost.
    #[serde(rename = "e", default, skip_serializing_if = "SmallVec::is_empty")]
    pub evicted: SmallVec<[u64; 4]>,
}
