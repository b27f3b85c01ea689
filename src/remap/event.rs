use serde::Serialize;

/// A line of a sidecar's log about its group.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(super) enum Event<'a> {
    /// The process has started.
    Started { version: &'a str, peer: String, rank: String },
    /// The process was told to stop.
    Stopping { leads: bool },
    /// The process ends.
    Stopped,
    /// The process read its own settings file again.
    Reloaded { ok: bool, detail: &'a str },
    /// The platform gave no answer to a call for leadership or the list.
    PlatformDown { detail: String },
    /// Another sidecar has begun a term at the same time.
    NotClaimed,
    /// This process leads the group from now on.
    Leads { term: u64, reason: &'a str, silence_ms: u64 },
    /// This process no longer leads the group.
    Deposed { term: u64, reason: &'a str },
    /// The ranks of the group are known and whole.
    Group { epoch: u64, ranks: usize, map: u64 },
    /// Not all ranks of the group are known or running.
    GroupIncomplete { known: usize, size: usize },
    /// A map was chosen, from the demand counted.
    Planned { version: u64, copies: usize, skew_before: f64, skew_after: f64 },
    /// All ranks switch to a map as a pass begins.
    Switched { version: u64, pass: u64, epoch: u64, took_ms: u64 },
    /// A map is not switched to.
    SwitchFailed { version: u64, epoch: u64, step: &'a str, detail: String, took_ms: u64 },
    /// What was left of a switch was undone.
    Settled { epoch: u64, took_ms: u64, commands: usize },
}
