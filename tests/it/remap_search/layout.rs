//! Who stands where, and how far the search goes.

pub(super) const RANKS: usize = 3;
/// The pass of the switch, and the one before.
pub(super) const PASS: u64 = 2;
pub(super) const VERSION: u64 = 1;
/// Rank beside the earlier leader, the one it holds the group at, and the one it does so from.
pub(super) const EARLIER_LEADER: usize = 0;
pub(super) const HOLDER: usize = 1;
pub(super) const VIA: usize = 2;
/// The ranks that the earlier leader arms last.
pub(super) const LAST_ARMED: [usize; 2] = [VIA, EARLIER_LEADER];
/// Numbers of the earlier leader's orders lie below.
pub(super) const NEXT_FENCE: u8 = 1;
/// Orders that the next leader gives before a path ends: all that settling takes, and some again.
pub(super) const MAX_ORDERS: u8 = 9;
/// The same where both ranks that are armed last may be out of reach, which makes more worlds.
pub(super) const MAX_ORDERS_FROM_HOLDER: u8 = 7;
