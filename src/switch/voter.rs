use super::{
    MapId, Proposal, ProposalId, ProposalReply, RankReport, Verdict, VoteRefusal, VoteStatus,
};

/// What a rank may do at a step boundary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepAdmission {
    /// Enter the step of this epoch with this map.
    Run(u64, MapId),
    /// Wait for the result of this proposal.
    Wait(ProposalId),
    /// The group is being formed anew.
    Frozen,
}

/// One rank's part in the agreement on expert maps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    /// The process's present incarnation, as a number.
    incarnation: u64,
    epoch: u64,
    /// Epoch that the rank has been frozen for.
    promised: u64,
    /// Greatest fencing number seen.
    fence: u64,
    map: MapId,
    /// Last step that the rank was let into.
    step: u64,
    open: Option<Open>,
    /// The proposal that brought the present map, within this epoch.
    committed: Option<ProposalId>,
    /// Proposals up to this one are settled or will never be voted for.
    closed: ProposalId,
}

/// A proposal that the rank has voted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Open {
    proposal: Proposal,
    committed: bool,
}

impl Voter {
    /// A rank that belongs to no epoch yet, with its own incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Votes on a proposal; `holds` says whether the rank has all the weights.
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
        if proposal.id.epoch != self.epoch || self.promised != self.epoch {
            return ProposalReply::Refused(VoteRefusal::Epoch);
        }
        if let Some(open) = self.open.filter(|open| open.proposal.id == proposal.id) {
            return ProposalReply::Vote(open.stand());
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
        self.open = Some(Open { proposal: *proposal, committed: false });
        ProposalReply::Vote(VoteStatus::Yes)
    }

    /// Says where the rank stands on a proposal. One that it has not voted for by now it will
    /// never vote for. A rank that is not of the proposal's epoch can't tell: it may have voted
    /// in an earlier incarnation.
    pub fn ask(&mut self, id: ProposalId) -> Option<VoteStatus> {
        if id.epoch != self.epoch {
            return None;
        }
        if let Some(open) = self.open.filter(|open| open.proposal.id == id) {
            return Some(open.stand());
        }
        if self.committed == Some(id) {
            return Some(VoteStatus::Committed);
        }
        self.closed = self.closed.max(id);
        Some(VoteStatus::No)
    }

    /// Takes in the result of a proposal.
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

    /// Lets the rank into a step, if the result of an open proposal does not matter to it or is
    /// known.
    pub fn enter(&mut self, step: u64) -> StepAdmission {
        if self.promised != self.epoch || self.epoch == 0 {
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

    /// Stops entering steps, for the group to be formed anew as a later epoch. Gives nothing if
    /// the rank has promised itself to as late an epoch already.
    pub fn freeze(&mut self, epoch: u64) -> Option<RankReport> {
        if epoch < self.promised || epoch <= self.epoch {
            return None;
        }
        self.promised = epoch;
        Some(self.report())
    }

    /// Joins the epoch that it has been frozen for in this incarnation, with the map that the epoch
    /// starts from.
    pub fn form(&mut self, incarnation: u64, epoch: u64, map: MapId) -> bool {
        if incarnation != self.incarnation || epoch != self.promised {
            return false;
        }
        if epoch == self.epoch {
            return self.step == 0 && self.map == map && self.open.is_none();
        }
        let fence = self.fence.max(epoch);
        *self = Self { epoch, promised: epoch, fence, map, ..Self::default() };
        true
    }

    /// What the rank knows, for forming the group and for operators.
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

impl Open {
    const fn stand(&self) -> VoteStatus {
        if self.committed { VoteStatus::Committed } else { VoteStatus::Yes }
    }
}
