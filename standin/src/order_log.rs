use serde::{Deserialize, Serialize};

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of whoever gives it.
    pub fence: u64,
    /// What to do, such as `load`.
    pub verb: String,
    /// What to do it with.
    pub subject: String,
}

/// The orders that an engine has carried out.
#[derive(Clone, Debug, Default)]
pub struct OrderLog {
    /// Whether old fencing numbers are refused.
    pub check_fences: bool,
    /// Greatest fencing number seen.
    pub fence: u64,
    /// Orders in the order in which they were carried out.
    pub done: Vec<EngineOrder>,
}

impl OrderLog {
    /// Carries an order out, and tells whether it was accepted.
    pub fn apply(&mut self, order: EngineOrder) -> bool {
        if self.check_fences && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.done.push(order);
        true
    }
}
