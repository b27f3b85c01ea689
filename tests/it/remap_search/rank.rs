use super::order::Order;

/// What a rank is told and does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Rank {
    pub(super) fence: u8,
    pub(super) armed: bool,
    pub(super) held: bool,
}

impl Rank {
    /// Whether the rank takes an order with this number.
    pub(super) const fn accepts(&self, fence: u8) -> bool {
        fence >= self.fence
    }

    /// Carries out an order, unless the pass of the switch has begun and it no longer fits.
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
