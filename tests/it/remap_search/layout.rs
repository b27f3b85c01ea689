//! Roles of the ranks, and limits of the search.

pub(super) const RANKS: usize = 3;
/// The pass at which the ranks switch maps.
pub(super) const PASS: u64 = 2;
/// The version that they switch to.
pub(super) const VERSION: u64 = 1;
/// Rank beside the earlier leader.
pub(super) const EARLIER_LEADER: usize = 0;
/// Rank that holds the group for the earlier leader.
pub(super) const HOLDER: usize = 1;
/// Rank from whose machine the earlier leader orders [`HOLDER`] to hold the group.
pub(super) const VIA: usize = 2;
/// The ranks that the earlier leader arms last, in the order in which it arms them.
pub(super) const LAST_ARMED: [usize; 2] = [VIA, EARLIER_LEADER];
/// Fencing tokens of the earlier leader's orders are less than this, those of the next leader
/// greater.
pub(super) const NEXT_FENCE: u8 = 1;
/// Orders of the next leader after which a path ends: all that settling takes, and some repeats.
pub(super) const MAX_ORDERS: u8 = 9;
/// The same for a next leader beside the holder. It is less because both ranks that are armed last
/// may then be unreachable, which gives more states.
pub(super) const MAX_ORDERS_FROM_HOLDER: u8 = 7;
