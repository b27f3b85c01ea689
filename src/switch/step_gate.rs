use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{
    MapId, Proposal, ProposalId, ProposalReply, RankReport, RankStats, StepAdmission, StepCounts,
    Verdict, VoteStatus, Voter,
};

/// Answer to a rank at a step boundary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnterReply {
    /// Enter the step with this map.
    Run {
        /// Epoch that the step belongs to. Ranks step together only within an epoch.
        epoch: u64,
        /// The map.
        map: MapId,
    },
    /// Ask again: the group is being formed anew.
    Frozen,
}

/// The way into each step for the rank beside this sidecar.
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
    /// A gate of a rank that belongs to no epoch yet.
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

    /// Lets the rank into a step as soon as the result of an open proposal is known, and takes in
    /// what it counted in the step before.
    pub async fn enter(&self, step: u64, counts: Option<StepCounts>) -> EnterReply {
        if let Some(counts) = counts {
            self.stats.lock().unwrap_or_else(PoisonError::into_inner).add(step, counts);
        }
        let mut waited = false;
        loop {
            let changed = self.changed.notified();
            let entry = self.voter().enter(step);
            match entry {
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

    /// Steps that the rank had to wait for the result of a proposal.
    pub fn waits(&self) -> u64 {
        self.waits.load(Ordering::Relaxed)
    }

    /// Votes on a proposal.
    pub fn propose(&self, proposal: &Proposal, holds: bool) -> ProposalReply {
        self.voter().propose(proposal, holds)
    }

    /// Says where the rank stands.
    pub fn ask(&self, id: ProposalId) -> Option<VoteStatus> {
        self.voter().ask(id)
    }

    /// Takes in a result.
    pub fn settle(&self, id: ProposalId, verdict: Verdict) {
        self.voter().settle(id, verdict);
        self.changed.notify_waiters();
    }

    /// Stops entering steps.
    pub fn freeze(&self, epoch: u64) -> Option<RankReport> {
        let report = self.voter().freeze(epoch);
        self.changed.notify_waiters();
        report
    }

    /// Joins an epoch.
    pub fn form(&self, life: u64, epoch: u64, map: MapId) -> bool {
        let formed = self.voter().form(life, epoch, map);
        self.changed.notify_waiters();
        formed
    }

    /// What the rank knows.
    pub fn report(&self) -> RankReport {
        self.voter().report()
    }

    /// What the rank counted since the last call.
    pub fn take_stats(&self) -> RankStats {
        std::mem::take(&mut *self.stats.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
