use serde::{Deserialize, Serialize};

use super::VoteStatus;

/// Result of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All ranks voted for the proposal: the new map is in force from the proposal's first step.
    Commit,
    /// A rank will never vote for the proposal: the present map stays in force.
    Abort,
}

/// The votes on one proposal, as one process knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ballot {
    votes: Vec<Option<VoteStatus>>,
}

impl Ballot {
    /// A ballot without votes for a group of `ranks` ranks.
    pub fn new(ranks: usize) -> Self {
        Self { votes: vec![None; ranks] }
    }

    /// Records the vote of a rank.
    ///
    /// ```
    /// # use ebonyusher::switch::{Ballot, VoteStatus, Verdict};
    /// let mut ballot = Ballot::new(2);
    /// ballot.record(0, VoteStatus::Yes);
    /// assert_eq!(ballot.verdict(), None);
    /// ballot.record(1, VoteStatus::Yes);
    /// assert_eq!(ballot.verdict(), Some(Verdict::Commit));
    /// ```
    pub fn record(&mut self, rank: usize, vote: VoteStatus) {
        if let Some(known) = self.votes.get_mut(rank) {
            *known = Some(vote);
        }
    }

    /// Ranks whose vote is not known.
    pub fn missing(&self) -> impl Iterator<Item = usize> + '_ {
        self.votes.iter().enumerate().filter(|(_, vote)| vote.is_none()).map(|(rank, _)| rank)
    }

    /// The result, `None` until the known votes decide it.
    pub fn verdict(&self) -> Option<Verdict> {
        if self.votes.contains(&Some(VoteStatus::Committed)) {
            return Some(Verdict::Commit);
        }
        if self.votes.contains(&Some(VoteStatus::No)) {
            return Some(Verdict::Abort);
        }
        let all = self.votes.iter().all(|vote| *vote == Some(VoteStatus::Yes));
        all.then_some(Verdict::Commit)
    }
}
