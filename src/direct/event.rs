use serde::Serialize;

use super::LimitChange;
use crate::net::Pressure;

/// A record of the structured log of a direct entry.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(super) enum Event<'a> {
    /// The process has started.
    Started { version: &'a str, listen: String, domain: &'a str },
    /// The process has become ready for callers, or is no longer ready.
    Readiness { ready: bool, reason: &'a str },
    /// The process has received a stop signal.
    Stopping { grace_ms: u64 },
    /// The process exits.
    Stopped { unfinished: usize },
    /// The process read its own settings file again.
    Reloaded { ok: bool, detail: &'a str },
    /// Callers take more than the process may hold for them, or more connections; at most once a
    /// second.
    CallersBounded(&'a Pressure),
    /// Settings were put in force.
    SettingsInForce {
        revision: u64,
        before: u64,
        /// Time since the call with this answer was sent.
        age_ms: u64,
        /// Time since the call whose answer last proved that the settings were the newest.
        #[serde(skip_serializing_if = "Option::is_none")]
        proof_age_ms: Option<u64>,
    },
    /// Settings were written that can't be used; the previous ones stay in force.
    SettingsUnusable { reason: &'a str, in_force: u64 },
    /// The platform responds again, or no longer responds.
    Platform { topic: &'a str, up: bool, detail: &'a str, down_ms: u64 },
    /// The platform's store came back from an older copy. The topic is read as a whole.
    StoreRewound { topic: &'a str, era: u64 },
    /// The operator evacuated a failure domain or restored it, or the store has lost the
    /// evacuation, which is then kept for a time. The age is that of the answer with the change.
    Evacuation {
        domain: &'a str,
        change: &'a str,
        version: u64,
        age_ms: u64,
        /// For how long this entry has known of the evacuation.
        known_ms: u64,
    },
    /// The list of upstreams changed.
    Upstream { upstream: &'a str, service: &'a str, change: &'a str, cursor: u64 },
    /// A group of a service is new to this entry, has other members, or is gone.
    Group {
        service: &'a str,
        group: &'a str,
        change: &'a str,
        epoch: u64,
        term: u64,
        members: usize,
    },
    /// A group of several has stalled, refuses requests although nothing runs there, or runs again.
    /// `for_ms` is for how long it has been silent or was down.
    GroupState {
        service: &'a str,
        group: &'a str,
        state: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        for_ms: Option<u64>,
    },
    /// The row of a group can't be used; what was known of the group still holds.
    GroupUnusable { key: &'a str, reason: &'a str },
    /// An upstream crashed while it ran the request with this fingerprint.
    Crashed {
        upstream: &'a str,
        domain: &'a str,
        #[serde(rename = "print")]
        fingerprint: String,
        crashes: u32,
        proof: &'a str,
        ran_ms: u64,
        ended_ms_ago: u64,
    },
    /// An attempt ended in a way that its upstream's crash would explain.
    Suspected {
        id: &'a str,
        upstream: &'a str,
        #[serde(rename = "print")]
        fingerprint: String,
        /// Ids of the shared parts of the prompt.
        parts: String,
        sign: &'a str,
        /// Number of events of a stream that had arrived in the attempt.
        events: u32,
    },
    /// A crash was not counted against this request.
    CrashNotCounted {
        upstream: &'a str,
        domain: &'a str,
        #[serde(rename = "print")]
        fingerprint: String,
        reason: &'a str,
        ran_ms: u64,
        ended_ms_ago: u64,
    },
    /// Other entries know of more crashes of a request than this one did.
    CrashesLearned {
        #[serde(rename = "print")]
        fingerprint: String,
        crashes: u32,
    },
    /// This entry's count of the crashes of a request is in the table.
    CrashesShared {
        #[serde(rename = "print")]
        fingerprint: String,
        crashes: u32,
    },
    /// A request was refused because it, or a part of its prompt, has crashed upstreams.
    Quarantined {
        id: &'a str,
        /// Fingerprint of the request or of the part.
        #[serde(rename = "print")]
        fingerprint: String,
        /// Ids of the shared parts of the prompt.
        parts: String,
        crashes: u32,
        age_ms: u64,
        left_ms: u64,
    },
    /// This entry may run a quarantined request once, or may not.
    Trial {
        #[serde(rename = "print")]
        fingerprint: String,
        granted: bool,
        detail: String,
    },
    /// A request that was in flight at crashes has completed, so it is not their cause.
    CrashesCleared {
        id: &'a str,
        #[serde(rename = "print")]
        fingerprint: String,
        crashes: u32,
    },
    /// Crash counts could not be read from or shared with other entries.
    CrashesUnusable { detail: String },
    /// An upstream names a limit, another one, or none any more. The source is the entry that
    /// reported it, or "response".
    Limit { upstream: &'a str, before: Option<f64>, rate: Option<f64>, source: &'a str },
    /// An upstream is cold for a time: it gets this rate of requests per second from all entries
    /// together. The source is "listing", or "new" for one that started while its service had
    /// requests.
    Cold { upstream: &'a str, for_ms: u64, rate: f64, source: &'a str },
    /// An upstream says in the response to this request that it drains.
    Draining { id: &'a str, upstream: &'a str },
    /// An upstream that refused this request wants no more from this entry for a time.
    Paused { id: &'a str, upstream: &'a str, for_ms: u64 },
    /// A response has a header that this version does not know, logged once for each name.
    UnknownHeader { upstream: &'a str, name: &'a str },
    /// An upstream was chosen for a request.
    Sent {
        id: &'a str,
        attempt: u32,
        route: &'a str,
        account: &'a str,
        /// Ids of the shared parts of the prompt.
        parts: String,
        upstream: &'a str,
        /// Group of the upstream, if the service has several, and age of the row that says so.
        #[serde(skip_serializing_if = "Option::is_none")]
        group: Option<&'a str>,
        #[serde(skip_serializing_if = "Option::is_none")]
        group_age_ms: Option<u64>,
        revision: u64,
        settings_age_ms: u64,
        own: u32,
        others: Option<f64>,
        load_age_ms: Option<u64>,
        /// Slowness of the upstream and work of the request, if they are learned.
        #[serde(skip_serializing_if = "Option::is_none")]
        slowness: Option<f64>,
        #[serde(skip_serializing_if = "Option::is_none")]
        work: Option<f64>,
        left_ms: u64,
    },
    /// An upstream has become slow, or as fast as the others again. `changed` is the number of
    /// upstreams of the group that did so since the last review, this one included, and
    /// `slow_upstreams` the number of slow ones of the service.
    Speed {
        upstream: &'a str,
        service: &'a str,
        slow: bool,
        slowness: f64,
        sample_age_ms: Option<u64>,
        changed: usize,
        slow_upstreams: usize,
    },
    /// A request was refused before its first attempt.
    NotAdmitted {
        id: &'a str,
        route: &'a str,
        account: &'a str,
        priority: u8,
        least: f64,
        mean: f64,
        /// Load on which the decision was based, in requests per engine.
        level: f64,
        #[serde(rename = "places")]
        capacity: f64,
        /// Part of the capacity that is kept for more urgent requests.
        reserve: f64,
        /// Arrivals of more urgent requests per second and engine.
        demand: f64,
        /// Requests that may wait at an engine.
        queue: f64,
        /// Whether the account is above its fair share.
        over_share: bool,
        /// Mean age of the load reports.
        report_age_ms: Option<u64>,
        gap_ms: Option<u64>,
        silence_ms: Option<u64>,
    },
    /// A request of a plain service was refused because no upstream would respond to it in time.
    /// `slots` and `usual_ms` are those of the least loaded upstream.
    TooLate {
        id: &'a str,
        route: &'a str,
        account: &'a str,
        least: f64,
        slots: Option<u32>,
        usual_ms: Option<u64>,
        left_ms: u64,
    },
    /// An attempt brought no response that can be forwarded.
    Failed {
        id: &'a str,
        attempt: u32,
        upstream: &'a str,
        outcome: &'a str,
        reason: &'a str,
        detail: String,
        took_ms: u64,
    },
    /// A retry was charged to the budget of its service, or the budget did not allow it. The sums are
    /// those of the window before it, at this entry.
    RetryCharged {
        id: &'a str,
        service: &'a str,
        reason: &'a str,
        granted: bool,
        /// Requests of callers and retries within the window.
        requests: u32,
        retries: u32,
        /// Part of the common slack that this entry takes, in retries.
        slack: f64,
    },
    /// The entry closed the connection of an attempt whose response was not complete, because the
    /// caller left or the deadline passed. `silent_ms` is for how long the upstream had sent
    /// nothing on any connection of this entry.
    Abandoned { id: &'a str, attempt: u32, upstream: &'a str, took_ms: u64, silent_ms: Option<u64> },
    /// A request ended: the caller got the complete response or a refusal, the response broke off,
    /// or the caller disconnected.
    Ended {
        id: &'a str,
        status: u16,
        outcome: &'a str,
        reason: &'a str,
        attempts: u32,
        first_ms: Option<u64>,
        took_ms: u64,
        retry_after_ms: Option<u64>,
    },
}

impl<'a> Event<'a> {
    /// Returns the record of a change of a limit.
    pub(super) fn limit(change: &'a LimitChange, source: &'a str) -> Self {
        let LimitChange { upstream, before, rate } = change;
        Self::Limit { upstream, before: *before, rate: *rate, source }
    }
}
