use crate::direct::LatencyTargets;

/// A request for which admission is decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Hash of the name of the client account, if the request has one.
    pub account: Option<u64>,
    /// Targets of its route.
    pub targets: LatencyTargets,
    /// Expected work, relative to the mean request.
    pub work: f64,
}
