use super::layout::{EARLIER_LEADER, HOLDER, RANKS, VIA};
use super::variant::Variant;

/// An order of the earlier leader: once sent it may be carried out at any time, and again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct EarlierOrders {
    pub(super) hold: bool,
    pub(super) arm: [bool; RANKS],
    pub(super) release: bool,
    /// Confirmed to the earlier leader.
    pub(super) hold_confirmed: bool,
    pub(super) arm_confirmed: [bool; RANKS],
}

impl EarlierOrders {
    /// Whether the earlier leader may arm a rank by now.
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
