use super::layout::{EARLIER, HOLDER, RANKS, VIA};
use super::variant::Variant;

/// An order of the earlier leader: once sent it may be carried out at any time, and again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Sent {
    pub(super) hold: bool,
    pub(super) arm: [bool; RANKS],
    pub(super) release: bool,
    /// Confirmed to the earlier leader.
    pub(super) held: bool,
    pub(super) armed: [bool; RANKS],
}

impl Sent {
    /// Whether the earlier leader may arm a rank by now.
    pub(super) const fn may_arm(&self, rank: usize, variant: Variant) -> bool {
        if !self.held {
            return false;
        }
        match (variant, rank) {
            (Variant::OwnFirst, EARLIER) | (Variant::ViaEarly, VIA) => true,
            (Variant::OwnFirst, _) => self.armed[EARLIER],
            (_, HOLDER) => true,
            (_, VIA) => self.armed[HOLDER],
            (_, _) => self.armed[HOLDER] && self.armed[VIA],
        }
    }
}
