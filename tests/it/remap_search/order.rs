/// An order of the next leader to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Order {
    Hold,
    Fence,
    Disarm,
    Release,
}
