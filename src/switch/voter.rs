use super::{
    MapId, Proposal, ProposalId, ProposalReply, RankReport, Verdict, VoteRefusal, VoteStatus,
};

/// Whether a rank may enter a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepAdmission {
    /// It may run the step in this epoch with this map.
    Run(u64, MapId),
    /// It has to wait for the result of this proposal.
    Wait(ProposalId),
    /// It may not: the group is forming a new epoch.
    Frozen,
}

/// Decides one rank's votes on expert maps, and which steps the rank may enter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    /// Incarnation of the process, as a number.
    incarnation: u64,
    epoch: u64,
    /// Latest epoch that the rank has been frozen for; it joins no earlier one.
    frozen_for: u64,
    /// Greatest fencing token seen.
    fence: u64,
    map: MapId,
    /// Last step that the rank was allowed to enter.
    step: u64,
    open: Option<OpenProposal>,
    /// Proposal that brought the present map into force, if that was in this epoch.
    committed: Option<ProposalId>,
    /// Greatest proposal up to which all are settled or will never get this rank's vote.
    closed: ProposalId,
}

/// A proposal that the rank has voted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenProposal {
    proposal: Proposal,
    committed: bool,
}

impl Voter {
    /// A voter that belongs to no epoch yet.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Votes on a proposal; `holds` tells whether the rank has all weights of its map.
    ///
    /// ```
    /// # use ebonyusher::switch::{MapId, Proposal, ProposalId, ProposalReply, VoteStatus, Voter};
    /// let mut voter = Voter::new(7);
    /// voter.freeze(1);
    /// assert!(voter.form(7, 1, MapId::default()));
    /// let id = ProposalId { epoch: 1, fence: 1, serial: 0 };
    /// let map = MapId { version: 1, fence: 1 };
    /// let proposal = Proposal { id, base: MapId::default(), map, from: 5 };
    /// assert_eq!(voter.propose(&proposal, true), ProposalReply::Vote(VoteStatus::Yes));
    /// ```
    pub fn propose(&mut self, proposal: &Proposal, holds: bool) -> ProposalReply {
        if proposal.id.epoch != self.epoch || self.frozen_for != self.epoch {
            return ProposalReply::Refused(VoteRefusal::Epoch);
        }
        if let Some(open) = self.open.filter(|open| open.proposal.id == proposal.id) {
            return ProposalReply::Vote(open.vote());
        }
        if self.committed == Some(proposal.id) {
            return ProposalReply::Vote(VoteStatus::Committed);
        }
        if proposal.id.fence < self.fence {
            return ProposalReply::Refused(VoteRefusal::Fence);
        }
        self.fence = proposal.id.fence;
        if proposal.id <= self.closed {
            return ProposalReply::Vote(VoteStatus::No);
        }
        if let Some(open) = self.open {
            return ProposalReply::Refused(VoteRefusal::Busy(open.proposal));
        }
        if proposal.base != self.map || proposal.from <= self.step {
            self.closed = proposal.id;
            return ProposalReply::Vote(VoteStatus::No);
        }
        if !holds {
            return ProposalReply::Refused(VoteRefusal::Weights);
        }
        self.open = Some(OpenProposal { proposal: *proposal, committed: false });
        ProposalReply::Vote(VoteStatus::Yes)
    }

    /// Returns the rank's vote on a proposal. If the rank has not voted for it yet, it never will.
    /// The vote is unknown if the rank is not in the proposal's epoch: it may have voted in an
    /// earlier incarnation.
    pub fn ask(&mut self, id: ProposalId) -> Option<VoteStatus> {
        if id.epoch != self.epoch {
            return None;
        }
        if let Some(open) = self.open.filter(|open| open.proposal.id == id) {
            return Some(open.vote());
        }
        if self.committed == Some(id) {
            return Some(VoteStatus::Committed);
        }
        self.closed = self.closed.max(id);
        Some(VoteStatus::No)
    }

    /// Records the result of a proposal.
    pub fn settle(&mut self, id: ProposalId, verdict: Verdict) {
        let Some(open) = self.open.as_mut().filter(|open| open.proposal.id == id) else {
            return;
        };
        match verdict {
            Verdict::Commit => open.committed = true,
            Verdict::Abort => {
                self.open = None;
                self.closed = self.closed.max(id);
            }
        }
    }

    /// Admits the rank to a step if it is before the first step of an open proposal, or the result
    /// of the proposal is known.
    pub fn enter(&mut self, step: u64) -> StepAdmission {
        if self.frozen_for != self.epoch || self.epoch == 0 {
            return StepAdmission::Frozen;
        }
        if let Some(open) = self.open.filter(|open| step >= open.proposal.from) {
            if !open.committed {
                return StepAdmission::Wait(open.proposal.id);
            }
            self.map = open.proposal.map;
            self.committed = Some(open.proposal.id);
            self.closed = self.closed.max(open.proposal.id);
            self.open = None;
        }
        self.step = self.step.max(step);
        StepAdmission::Run(self.epoch, self.map)
    }

    /// Stops admitting the rank to steps, so that the group can form a later epoch. Returns `None`
    /// if the rank is in that epoch already, or in or frozen for a later one.
    pub fn freeze(&mut self, epoch: u64) -> Option<RankReport> {
        if epoch < self.frozen_for || epoch <= self.epoch {
            return None;
        }
        self.frozen_for = epoch;
        Some(self.report())
    }

    /// Joins the epoch that the rank has been frozen for in this incarnation, with the map that the
    /// epoch starts from. Returns whether it has joined. Joining resets the incarnation to 0, so
    /// only a repeated call with 0 succeeds, until the rank has run a step or voted.
    pub fn form(&mut self, incarnation: u64, epoch: u64, map: MapId) -> bool {
        if incarnation != self.incarnation || epoch != self.frozen_for {
            return false;
        }
        if epoch == self.epoch {
            return self.step == 0 && self.map == map && self.open.is_none();
        }
        let fence = self.fence.max(epoch);
        *self = Self { epoch, frozen_for: epoch, fence, map, ..Self::default() };
        true
    }

    /// The rank's view of its epoch, for forming a new epoch and for operators.
    pub fn report(&self) -> RankReport {
        RankReport {
            incarnation: self.incarnation,
            epoch: self.epoch,
            step: self.step,
            map: self.map,
            open: self.open.map(|open| open.proposal),
            committed: self.open.is_some_and(|open| open.committed),
            closed: self.closed,
        }
    }
}

impl OpenProposal {
    const fn vote(&self) -> VoteStatus {
        if self.committed { VoteStatus::Committed } else { VoteStatus::Yes }
    }
}
