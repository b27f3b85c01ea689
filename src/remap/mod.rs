//! Rebalancing of expert maps in groups whose ranks take orders. The sidecars beside the ranks of a
//! group elect a leader, which reads the ranks' token counts, plans maps, and has all ranks switch
//! to a new map at the start of the same pass. A service may have several groups, each with its own
//! leader. Groups whose ranks ask their sidecar before each step use [`crate::switch`] instead.

mod agent;
mod assembly;
mod demand;
mod event;
mod found_rank;
mod group_map;
mod group_memory;
mod leader_monitor;
mod leader_term;
mod leader_watch;
mod leadership;
mod map_cache;
mod map_plan;
mod map_update;
mod member_rows;
mod packed_map;
mod peer_rank;
mod placement;
mod publication;
mod rank_client;
mod rank_node;
mod rank_order;
mod rank_rpc;
mod rank_set;
mod rank_state;
mod selected_ranks;
mod settle_action;
mod shared_map;
mod sidecar_clients;
mod switch;
mod term_store;

pub use demand::Demand;
pub use found_rank::FoundRank;
pub use group_map::{GroupMap, HeldExperts};
pub use leader_term::LeaderTerm;
pub use map_update::{MapBase, MapUpdate, UpdateError};
pub use member_rows::MemberRows;
pub use peer_rank::PeerRank;
pub use placement::{PlacementLimits, SetPlacement, improve_set};
pub use rank_client::{RankClient, RankConnector, RankCounts, RankError, command_confirmed};
pub use rank_node::RankNode;
pub use rank_order::{RankCommand, RankOrder};
pub use rank_rpc::{PrepareOrder, RankRpcClient, RankRpcServer};
pub use rank_set::{Deposed, OrderStatus, RankSet, first_fence};
pub use rank_state::{Armed, RankState};
pub use selected_ranks::SelectedRanks;
pub use settle_action::{SettleAction, next_settle_action};
pub use shared_map::SharedMap;
pub use sidecar_clients::Sidecar;
pub use switch::{SwitchError, armed_last, settle_switch, switch};
pub use term_store::{Claim, ClaimedTerm, TermStore};
