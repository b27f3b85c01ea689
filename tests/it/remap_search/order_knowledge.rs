use ebonyusher::remap::OrderStatus;

use super::variant::Variant;

/// What the next leader knows of its own orders at a rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct OrderKnowledge {
    /// The rank has carried out one of them, and so refuses the earlier leader.
    pub(super) fenced: bool,
    /// One without an answer may still be carried out.
    pub(super) in_doubt: bool,
    /// The rank holds the group by one of them.
    pub(super) holds: bool,
    /// At least one was given.
    pub(super) ordered: bool,
}

impl OrderKnowledge {
    /// Converts this to the input of [`next_settle_action`](ebonyusher::remap::next_settle_action).
    ///
    /// In [`Variant::NoHold`] every rank counts as holding the group, so that no hold is ordered.
    pub(super) fn order_status(self, variant: Variant) -> OrderStatus {
        let Self { fenced, in_doubt, holds, .. } = self;
        let holds = holds || variant == Variant::NoHold;
        OrderStatus { fenced, in_doubt, holds, unarmed: false, last_order_ended: None }
    }
}
