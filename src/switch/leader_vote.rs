use std::time::Duration;

use tokio::time::sleep;

use super::term::Term;
use super::{
    Ballot, Leader, LeaderError, MapId, Proposal, ProposalId, ProposalReply, Verdict, VoteRefusal,
    VoteStatus,
};
use crate::metrics::Event;
use crate::platform::{InstanceList, ObjectStore, Table};

/// Number of steps between the latest step and a proposal's first step, so that usually no rank has
/// to wait for the result.
const STEPS_AHEAD: u64 = 8;
/// Interval between two attempts to get missing votes, or to report the result.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Max attempts to get missing votes, and to report the result, before the group forms a new epoch.
const MAX_ASK_ATTEMPTS: usize = 20;

/// The vote on a new map.
impl<P: Table + ObjectStore + InstanceList> Leader<P> {
    /// Proposes a map whose weights all ranks hold, and returns whether it was committed.
    pub(super) async fn switch(&self, term: &mut Term, map: MapId) -> Result<bool, LeaderError> {
        let reports = term.ranks.reports().await?;
        let step = reports.iter().map(|report| report.step).max().unwrap_or_default();
        term.serial += 1;
        let id = ProposalId { epoch: term.epoch, fence: term.fence, serial: term.serial };
        let proposal = Proposal { id, base: term.id, map, from: step + STEPS_AHEAD };
        let mut ballot = Ballot::new(term.ranks.len());
        for (rank, reply) in term.ranks.propose(proposal).await.into_iter().enumerate() {
            match reply {
                Some(ProposalReply::Vote(vote)) => ballot.record(rank, vote),
                Some(ProposalReply::Refused(VoteRefusal::Fence | VoteRefusal::Epoch)) => {
                    return Err(LeaderError::Outdated);
                }
                Some(ProposalReply::Refused(VoteRefusal::Busy(_) | VoteRefusal::Weights))
                | None => {}
            }
        }
        let committed = self.decide(term, id, ballot).await? == Verdict::Commit;
        let event = if committed { Event::SwitchDone } else { Event::SwitchRefused };
        self.meter.count(event);
        Ok(committed)
    }

    /// Gets the missing votes and reports the result to all ranks.
    pub(super) async fn decide(
        &self,
        term: &Term,
        id: ProposalId,
        mut ballot: Ballot,
    ) -> Result<Verdict, LeaderError> {
        for _ in 0..MAX_ASK_ATTEMPTS {
            if let Some(verdict) = ballot.verdict() {
                return self.report_verdict(term, id, verdict).await;
            }
            let votes: Vec<Option<Option<VoteStatus>>> = term.ranks.ask(id).await;
            for (rank, vote) in votes.into_iter().enumerate() {
                vote.flatten().into_iter().for_each(|vote| ballot.record(rank, vote));
            }
            if ballot.verdict().is_none() {
                sleep(ASK_INTERVAL).await;
            }
        }
        Err(LeaderError::RankLost(ballot.missing().next().unwrap_or_default()))
    }

    /// Reports the result to all ranks until each has answered.
    async fn report_verdict(
        &self,
        term: &Term,
        id: ProposalId,
        verdict: Verdict,
    ) -> Result<Verdict, LeaderError> {
        for _ in 0..MAX_ASK_ATTEMPTS {
            if term.ranks.settle(id, verdict).await.iter().all(Option::is_some) {
                return Ok(verdict);
            }
            sleep(ASK_INTERVAL).await;
        }
        Err(LeaderError::RankLost(0))
    }
}
