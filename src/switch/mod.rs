//! Protocol by which all ranks of a group agree to switch to a new expert map at the same step.
//!
//! Within an epoch a switch needs a unanimous vote. The result follows from the votes alone, so any
//! process that has them all can finish the switch. After the loss of a rank the group forms a new
//! epoch. `docs/EXPERT-MAPS.md` gives the reasons.

mod ballot;
mod group_rpc;
mod leader;
mod leader_error;
mod leader_vote;
mod map_id;
mod map_store;
mod proposal;
mod rank_report;
mod rank_server;
mod rank_stats;
mod ranks;
mod step_gate;
mod term;
mod voter;
mod weight_prefetcher;

pub use ballot::{Ballot, Verdict};
pub use group_rpc::{GroupRpcClient, GroupRpcServer};
pub use leader::{Leader, LeaderIdentity, LeaderOptions};
pub use leader_error::LeaderError;
pub use map_id::MapId;
pub use map_store::MapStore;
pub use proposal::{Proposal, ProposalId, ProposalReply, VoteRefusal, VoteStatus};
pub use rank_report::{RankReport, choose_map};
pub use rank_server::RankServer;
pub use rank_stats::{LayerCount, RankStats, StepCounts};
pub use step_gate::{EnterReply, StepGate};
pub use voter::{StepAdmission, Voter};
pub use weight_prefetcher::{HttpWeightPrefetcher, PrefetchError, PrefetchOrder, WeightPrefetcher};
