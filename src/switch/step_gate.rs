use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{
    MapId, Proposal, ProposalId, ProposalReply, RankReport, RankStats, StepAdmission, StepCounts,
    Verdict, VoteStatus, Voter,
};

/// Answer to a rank that asks to enter a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnterReply {
    /// Run the step with this map.
    Run {
        /// Epoch of the step. Only ranks of one epoch run a step together.
        epoch: u64,
        /// The map.
        map: MapId,
    },
    /// Ask again: the group is forming a new epoch.
    Frozen,
}

/// Admits the rank beside this sidecar to each step, and votes on expert maps on its behalf.
#[derive(Debug)]
pub struct StepGate {
    voter: Mutex<Voter>,
    stats: Mutex<RankStats>,
    changed: Notify,
    waits: AtomicU64,
}

impl Default for StepGate {
    fn default() -> Self {
        Self::new()
    }
}

impl StepGate {
    /// A gate for a rank that belongs to no epoch yet.
    pub fn new() -> Self {
        Self {
            voter: Mutex::new(Voter::new(rand::random())),
            stats: Mutex::default(),
            changed: Notify::new(),
            waits: AtomicU64::new(0),
        }
    }

    fn voter(&self) -> MutexGuard<'_, Voter> {
        self.voter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits the rank to a step as soon as the result of an open proposal is known, and records
    /// what the rank counted in the step before.
    pub async fn enter(&self, step: u64, counts: Option<StepCounts>) -> EnterReply {
        if let Some(counts) = counts {
            self.stats.lock().unwrap_or_else(PoisonError::into_inner).add(step, counts);
        }
        let mut waited = false;
        loop {
            let changed = self.changed.notified();
            let admission = self.voter().enter(step);
            match admission {
                StepAdmission::Run(epoch, map) => return EnterReply::Run { epoch, map },
                StepAdmission::Frozen => return EnterReply::Frozen,
                StepAdmission::Wait(_) => {}
            }
            if !std::mem::replace(&mut waited, true) {
                self.waits.fetch_add(1, Ordering::Relaxed);
            }
            changed.await;
        }
    }

    /// Number of steps at which the rank had to wait for the result of a proposal.
    pub fn waits(&self) -> u64 {
        self.waits.load(Ordering::Relaxed)
    }

    /// Votes on a proposal; `holds` tells whether the rank has all weights of its map.
    pub fn propose(&self, proposal: &Proposal, holds: bool) -> ProposalReply {
        self.voter().propose(proposal, holds)
    }

    /// Returns the rank's vote on a proposal. See [`Voter::ask`].
    pub fn ask(&self, id: ProposalId) -> Option<VoteStatus> {
        self.voter().ask(id)
    }

    /// Records the result of a proposal.
    pub fn settle(&self, id: ProposalId, verdict: Verdict) {
        self.voter().settle(id, verdict);
        self.changed.notify_waiters();
    }

    /// Stops admitting the rank to steps until it joins the new epoch. See [`Voter::freeze`].
    pub fn freeze(&self, epoch: u64) -> Option<RankReport> {
        let report = self.voter().freeze(epoch);
        self.changed.notify_waiters();
        report
    }

    /// Has the rank join an epoch. See [`Voter::form`].
    pub fn form(&self, incarnation: u64, epoch: u64, map: MapId) -> bool {
        let formed = self.voter().form(incarnation, epoch, map);
        self.changed.notify_waiters();
        formed
    }

    /// The rank's view of its epoch.
    pub fn report(&self) -> RankReport {
        self.voter().report()
    }

    /// Returns the rank's counts since the last call.
    pub fn take_stats(&self) -> RankStats {
        std::mem::take(&mut *self.stats.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
