/// What is left out of the protocol, to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Variant {
    Complete,
    /// Reports count though they may be older than the last order.
    StaleReports,
    /// The earlier leader arms the rank beside it first.
    LocalFirst,
    /// The earlier leader arms the rank from which it holds the group together with the others.
    ViaEarly,
    /// The next leader does not hold the group.
    NoHold,
    /// Orders carry no numbers.
    NoFence,
}
