use serde::{Deserialize, Serialize};

use super::VoteStatus;

/// Result of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All ranks voted for it: the new map is in force from its step on.
    Commit,
    /// A rank will never vote for it: the present map stays.
    Abort,
}

/// The votes on one proposal, as one process knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ballot {
    stands: Vec<Option<VoteStatus>>,
}

impl Ballot {
    /// No votes yet of so many ranks.
    pub fn new(ranks: usize) -> Self {
        Self { stands: vec![None; ranks] }
    }

    /// Takes in where a rank stands.
    ///
    /// ```
    /// # use ebonyusher::switch::{Ballot, VoteStatus, Verdict};
    /// let mut ballot = Ballot::new(2);
    /// ballot.record(0, VoteStatus::Yes);
    /// assert_eq!(ballot.verdict(), None);
    /// ballot.record(1, VoteStatus::Yes);
    /// assert_eq!(ballot.verdict(), Some(Verdict::Commit));
    /// ```
    pub fn record(&mut self, rank: usize, stand: VoteStatus) {
        if let Some(known) = self.stands.get_mut(rank) {
            *known = Some(stand);
        }
    }

    /// Ranks whose vote is not known.
    pub fn missing(&self) -> impl Iterator<Item = usize> + '_ {
        self.stands.iter().enumerate().filter(|(_, stand)| stand.is_none()).map(|(rank, _)| rank)
    }

    /// The result, as soon as it follows from the votes known.
    pub fn verdict(&self) -> Option<Verdict> {
        if self.stands.contains(&Some(VoteStatus::Committed)) {
            return Some(Verdict::Commit);
        }
        if self.stands.contains(&Some(VoteStatus::No)) {
            return Some(Verdict::Abort);
        }
        let all = self.stands.iter().all(|stand| *stand == Some(VoteStatus::Yes));
        all.then_some(Verdict::Commit)
    }
}
