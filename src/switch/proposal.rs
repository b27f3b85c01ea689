use serde::{Deserialize, Serialize};

use super::MapId;

/// Identifies one proposal. Later proposals of an epoch have greater IDs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ProposalId {
    /// Epoch of the group.
    pub epoch: u64,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Serial number among the leader's proposals.
    pub serial: u32,
}

/// A leader's proposal that all ranks use a map from a certain step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// ID of the proposal.
    pub id: ProposalId,
    /// Map that must be in force before.
    pub base: MapId,
    /// New map.
    pub map: MapId,
    /// First step that uses the new map.
    pub from: u64,
}

/// A rank's vote on a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoteStatus {
    /// The rank has voted for it: it won't enter the proposal's first step before it knows the
    /// result.
    Yes,
    /// The rank will never vote for it.
    No,
    /// The rank knows that all ranks have voted for it.
    Committed,
}

/// Why a rank did not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoteRefusal {
    /// The proposal belongs to another epoch.
    Epoch,
    /// The rank has seen a leader with a greater fencing token.
    Fence,
    /// Another proposal is open.
    Busy(Proposal),
    /// The rank does not hold all weights of the map yet.
    Weights,
}

/// A rank's answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProposalReply {
    /// The rank's vote.
    Vote(VoteStatus),
    /// The rank did not vote.
    Refused(VoteRefusal),
}
