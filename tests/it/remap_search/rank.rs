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
    pub(super) const fn takes(&self, number: u8) -> bool {
        number >= self.fence
    }

    /// Carries out an order, unless the pass of the switch has begun and it no longer fits.
    pub(super) fn carry_out(&mut self, order: Order, number: u8, begun: bool) -> bool {
        match order {
            Order::Hold if begun => return false,
            Order::Hold => self.held = true,
            Order::Fence => {}
            // The map in force can't be disarmed.
            Order::Disarm if begun => return false,
            Order::Disarm => self.armed = false,
            Order::Release => self.held = false,
        }
        self.fence = self.fence.max(number);
        true
    }
}
