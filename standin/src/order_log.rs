use serde::{Deserialize, Serialize};

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token of the sender.
    pub fence: u64,
    /// Name of the action, such as `load`.
    pub verb: String,
    /// Object of the action, such as a model and its version.
    pub subject: String,
}

/// The orders that an engine has accepted.
#[derive(Clone, Debug, Default)]
pub struct OrderLog {
    /// Whether orders with an old fencing token are refused.
    pub check_fences: bool,
    /// Greatest fencing token seen.
    pub fence: u64,
    /// Accepted orders, oldest first.
    pub done: Vec<EngineOrder>,
}

impl OrderLog {
    /// Records an order unless its fencing token is old, and returns whether it was accepted.
    pub fn apply(&mut self, order: EngineOrder) -> bool {
        if self.check_fences && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.done.push(order);
        true
    }
}
