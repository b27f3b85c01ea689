use super::layout::{EARLIER_LEADER, HOLDER, RANKS, VIA};
use super::variant::Variant;

/// The orders of the earlier leader. Once sent, an order may be carried out at any time, and more
/// than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct EarlierOrders {
    /// Whether the order to hold the group is sent.
    pub(super) hold: bool,
    /// Whether the order to arm is sent, by rank.
    pub(super) arm: [bool; RANKS],
    /// Whether the order to release the group is sent.
    pub(super) release: bool,
    /// Whether the earlier leader has the confirmation that the group is held.
    pub(super) hold_confirmed: bool,
    /// Whether it has the confirmation that a rank is armed, by rank.
    pub(super) arm_confirmed: [bool; RANKS],
}

impl EarlierOrders {
    /// Returns whether the earlier leader may arm a rank in this state.
    pub(super) const fn may_arm(&self, rank: usize, variant: Variant) -> bool {
        if !self.hold_confirmed {
            return false;
        }
        match (variant, rank) {
            (Variant::LocalFirst, EARLIER_LEADER) | (Variant::ViaEarly, VIA) => true,
            (Variant::LocalFirst, _) => self.arm_confirmed[EARLIER_LEADER],
            (_, HOLDER) => true,
            (_, VIA) => self.arm_confirmed[HOLDER],
            (_, _) => self.arm_confirmed[HOLDER] && self.arm_confirmed[VIA],
        }
    }
}
