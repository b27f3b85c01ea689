use ebonyusher::remap::OrderStatus;

use super::variant::Variant;

/// What the next leader knows of its own orders at a rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct OrderKnowledge {
    pub(super) fenced: bool,
    pub(super) in_doubt: bool,
    pub(super) holds: bool,
    pub(super) ordered: bool,
}

impl OrderKnowledge {
    /// The same as the decisions take it in.
    pub(super) fn order_status(self, variant: Variant) -> OrderStatus {
        let Self { fenced, in_doubt, holds, .. } = self;
        let holds = holds || variant == Variant::NoHold;
        OrderStatus { fenced, in_doubt, holds, unarmed: false, last_order_ended: None }
    }
}
