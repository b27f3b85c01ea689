use serde::Serialize;

use crate::net::Pressure;

/// An event in a sidecar's structured log about its group.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(super) enum Event<'a> {
    /// Callers take more than the process may hold for them, or more connections; at most once a
    /// second.
    CallersBounded(&'a Pressure),
    /// The process has started.
    Started { version: &'a str, peer: String, rank: String },
    /// The process was asked to stop.
    Stopping { leads: bool },
    /// The process has stopped.
    Stopped,
    /// The process has re-read its own settings file.
    Reloaded { ok: bool, detail: &'a str },
    /// The platform failed a call about the term, the settings or the list of upstreams.
    PlatformDown { detail: String },
    /// Another sidecar began a term at the same time.
    NotClaimed,
    /// This process has become the group's leader.
    Leads { group: &'a str, term: u64, reason: &'a str, silence_ms: u64 },
    /// This process no longer leads the group.
    Deposed { term: u64, reason: &'a str },
    /// All ranks of the group are known, and no switch is under way.
    Group { group: &'a str, epoch: u64, ranks: usize, map: u64 },
    /// Not all ranks of the group are known or running.
    GroupIncomplete { group: &'a str, known: usize, size: usize },
    /// The members of the group were written for the entries, or rows of groups without listed
    /// members were removed.
    MembersPublished { group: &'a str, epoch: u64, members: usize, written: bool, removed: usize },
    /// The rank is in another group than before.
    RankMoved { from: &'a str, to: &'a str },
    /// A map was planned. `digest` is that of its content.
    Planned {
        term: u64,
        version: u64,
        digest: String,
        copies: usize,
        skew_before: f64,
        skew_after: f64,
    },
    /// A map was made known beside the ranks. `bytes` is the size of the update, `missing` the number
    /// of ranks beside which the map is not known.
    MapShared { version: u64, bytes: usize, missing: usize, took_ms: u64 },
    /// An update from the leader gave no map.
    MapNotLearned { base: String, reason: String },
    /// The rank beside this sidecar did not carry out an order, or gave no answer.
    OrderFailed { term: u64, order: &'a str, version: Option<u64>, fence: u64, reason: String },
    /// Another sidecar has begun a term that this one did not know of.
    OtherLeads { term: u64 },
    /// All ranks switch to a map at the start of a pass.
    Switched { version: u64, pass: u64, epoch: u64, took_ms: u64 },
    /// A switch to a map failed.
    SwitchFailed { version: u64, epoch: u64, step: &'a str, detail: String, took_ms: u64 },
    /// An unfinished switch was undone.
    Settled { epoch: u64, took_ms: u64, commands: usize },
}
