use ebonyusher::remap::OrderStatus;

use super::variant::Variant;

/// What the next leader knows of its own orders at a rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Known {
    pub(super) fenced: bool,
    pub(super) unsure: bool,
    pub(super) holds: bool,
    pub(super) touched: bool,
}

impl Known {
    /// The same as the decisions take it in.
    pub(super) fn mark(self, variant: Variant) -> OrderStatus {
        let Self { fenced, unsure, holds, .. } = self;
        let holds = holds || variant == Variant::NoHold;
        OrderStatus { fenced, in_doubt: unsure, holds, unarmed: false, last_order_ended: None }
    }
}
