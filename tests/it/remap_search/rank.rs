use super::order::Order;

/// The state of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Rank {
    /// Greatest fencing token of the orders carried out.
    pub(super) fence: u8,
    /// Whether it is to switch to the new map at [`PASS`](super::layout::PASS).
    pub(super) armed: bool,
    /// Whether it holds the group before that pass.
    pub(super) held: bool,
}

impl Rank {
    /// Returns whether the rank accepts an order with this fencing token.
    pub(super) const fn accepts(&self, fence: u8) -> bool {
        fence >= self.fence
    }

    /// Carries out an order, and returns whether it did. An order to hold or disarm is refused once
    /// the pass of the switch has begun.
    pub(super) fn apply(&mut self, order: Order, fence: u8, pass_begun: bool) -> bool {
        match order {
            Order::Hold if pass_begun => return false,
            Order::Hold => self.held = true,
            Order::Fence => {}
            // The map in force can't be disarmed.
            Order::Disarm if pass_begun => return false,
            Order::Disarm => self.armed = false,
            Order::Release => self.held = false,
        }
        self.fence = self.fence.max(fence);
        true
    }
}
