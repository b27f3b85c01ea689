/// The protocol as it is, or with one rule left out to show that the search then finds a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Variant {
    /// The protocol as it is.
    Complete,
    /// The next leader uses reports that may be older than its last order to the rank.
    StaleReports,
    /// The earlier leader arms the rank beside it first.
    LocalFirst,
    /// The earlier leader arms [`VIA`](super::layout::VIA) without waiting until
    /// [`HOLDER`](super::layout::HOLDER) is armed.
    ViaEarly,
    /// The next leader does not hold the group.
    NoHold,
    /// Ranks ignore the fencing tokens of orders.
    NoFence,
}
