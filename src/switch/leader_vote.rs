use std::time::Duration;

use tokio::time::sleep;

use super::term::Term;
use super::{
    Ballot, Leader, LeaderError, MapId, Proposal, ProposalId, ProposalReply, Verdict, VoteRefusal,
    VoteStatus,
};
use crate::metrics::Event;
use crate::platform::{InstanceList, ObjectStore, Table};

/// Steps between a proposal and its first step, so that no rank waits in the ordinary case.
const LEAD_STEPS: u64 = 8;
/// Pause between two tries to learn missing votes.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Tries to learn missing votes before the group is formed anew.
const ASK_TRIES: usize = 20;

/// The vote on a new map.
impl<P: Table + ObjectStore + InstanceList> Leader<P> {
    /// Proposes a map that all ranks hold, and tells whether it was agreed.
    pub(super) async fn switch(&self, term: &mut Term, map: MapId) -> Result<bool, LeaderError> {
        let reports = term.ranks.reports().await?;
        let step = reports.iter().map(|report| report.step).max().unwrap_or_default();
        term.serial += 1;
        let id = ProposalId { epoch: term.epoch, fence: term.fence, serial: term.serial };
        let proposal = Proposal { id, base: term.id, map, from: step + LEAD_STEPS };
        let mut ballot = Ballot::new(term.ranks.len());
        for (rank, reply) in term.ranks.propose(proposal).await.into_iter().enumerate() {
            match reply {
                Some(ProposalReply::Vote(stand)) => ballot.record(rank, stand),
                Some(ProposalReply::Refused(VoteRefusal::Fence | VoteRefusal::Epoch)) => {
                    return Err(LeaderError::Outdated);
                }
                Some(ProposalReply::Refused(VoteRefusal::Busy(_) | VoteRefusal::Weights))
                | None => {}
            }
        }
        let agreed = self.decide(term, id, ballot).await? == Verdict::Commit;
        let event = if agreed { Event::SwitchDone } else { Event::SwitchRefused };
        self.meter.count(event);
        Ok(agreed)
    }

    /// Learns the missing votes and tells all ranks the result.
    pub(super) async fn decide(
        &self,
        term: &Term,
        id: ProposalId,
        mut ballot: Ballot,
    ) -> Result<Verdict, LeaderError> {
        for _ in 0..ASK_TRIES {
            if let Some(verdict) = ballot.verdict() {
                return self.tell(term, id, verdict).await;
            }
            let stands: Vec<Option<Option<VoteStatus>>> = term.ranks.ask(id).await;
            for (rank, stand) in stands.into_iter().enumerate() {
                stand.flatten().into_iter().for_each(|stand| ballot.record(rank, stand));
            }
            if ballot.verdict().is_none() {
                sleep(ASK_PAUSE).await;
            }
        }
        Err(LeaderError::RankLost(ballot.missing().next().unwrap_or_default()))
    }

    async fn tell(
        &self,
        term: &Term,
        id: ProposalId,
        verdict: Verdict,
    ) -> Result<Verdict, LeaderError> {
        for _ in 0..ASK_TRIES {
            if term.ranks.settle(id, verdict).await.iter().all(Option::is_some) {
                return Ok(verdict);
            }
            sleep(ASK_PAUSE).await;
        }
        Err(LeaderError::RankLost(0))
    }
}
