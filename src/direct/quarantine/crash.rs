use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::CrashSign;
use crate::direct::ListedUpstream;
use crate::entry::CrashKeys;
use crate::units::unix_millis;

/// The end of one incarnation of an upstream while a request was in flight there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Id of the upstream.
    pub upstream: String,
    /// Start time of the incarnation, if the platform lists it.
    pub incarnation: Option<u64>,
    /// Unix time in milliseconds at which the request was sent.
    pub started: u64,
    /// Unix time in milliseconds at which an entry noticed the end.
    pub ended: u64,
    /// Whether other upstreams of the failure domain lived on, so that its loss is no explanation.
    pub isolated: bool,
}

impl Crash {
    /// Returns what identifies the incarnation that ended.
    pub(in crate::direct) fn incarnation(&self) -> (&str, Option<u64>) {
        (&self.upstream, self.incarnation)
    }

    /// Combines what two entries have noticed of the end of the same incarnation.
    pub(in crate::direct) fn combine(&mut self, other: &Self) {
        self.started = self.started.min(other.started);
        self.ended = self.ended.min(other.ended);
        self.isolated |= other.isolated;
    }
}

/// An attempt that was in flight as its upstream may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::direct) struct SuspectedAttempt {
    /// What a crash is counted against.
    pub(in crate::direct) keys: CrashKeys,
    /// Whether the upstream had gone on with its answer after the first event.
    pub(in crate::direct) progressed: bool,
    /// How it ended.
    pub(in crate::direct) sign: CrashSign,
    /// When it was sent.
    pub(in crate::direct) started: Instant,
    /// When this entry noticed its end.
    pub(in crate::direct) ended: Instant,
}

impl SuspectedAttempt {
    /// Returns the crash that this attempt was in flight at.
    pub(in crate::direct) fn crash(&self, listed: &ListedUpstream, isolated: bool) -> Crash {
        Crash {
            upstream: listed.id.clone(),
            incarnation: listed.started_at_ms,
            started: unix_millis(self.started.elapsed()),
            ended: unix_millis(self.ended.elapsed()),
            isolated,
        }
    }
}
