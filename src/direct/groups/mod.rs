//! Groups of ranks behind one service, as an entry knows them.

mod eligible_group;
mod group_change;
mod group_condition;
mod group_directory;
mod group_feed;
mod group_load;
mod group_log;
mod group_recovery;
mod group_state;
mod memberships;

pub(super) use eligible_group::EligibleGroup;
pub use group_change::GroupChange;
pub use group_condition::GroupCondition;
pub use group_directory::GroupDirectory;
pub(super) use group_feed::GroupFeed;
pub use group_load::{GroupLoad, choose_group};
pub use group_recovery::GroupRecovery;
pub(super) use group_state::GroupState;
pub use memberships::{Membership, Memberships};
