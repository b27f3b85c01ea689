use super::order::Order;

/// An order of the next leader that got no answer and may be carried out later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LateOrder {
    pub(super) rank: usize,
    pub(super) order: Order,
    pub(super) fence: u8,
}
