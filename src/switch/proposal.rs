use serde::{Deserialize, Serialize};

use super::MapId;

/// Names one proposal. Later ones of an epoch are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ProposalId {
    /// Epoch of the group.
    pub epoch: u64,
    /// Fencing number of the leader.
    pub fence: u64,
    /// Number among the leader's proposals.
    pub serial: u32,
}

/// A leader proposes that all ranks use a map from a step on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// Name.
    pub id: ProposalId,
    /// The map that must be in force before.
    pub base: MapId,
    /// The new map.
    pub map: MapId,
    /// First step that uses it.
    pub from: u64,
}

/// Where a rank stands on a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoteStatus {
    /// It has promised not to enter the proposal's first step before it knows the result.
    Yes,
    /// It will never vote for it.
    No,
    /// It knows that all have voted for it.
    Committed,
}

/// Why a rank gave no vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoteRefusal {
    /// The proposal belongs to another epoch.
    Epoch,
    /// A leader with a greater fencing number has been seen.
    Fence,
    /// Another proposal is open.
    Busy(Proposal),
    /// The rank does not hold all the weights yet.
    Weights,
}

/// Answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProposalReply {
    /// The rank's vote.
    Vote(VoteStatus),
    /// No vote.
    Refused(VoteRefusal),
}
