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
    /// Random number from 0 to 1. Between the load at which all are admitted and that at which none
    /// is, it decides; without it, entries with slightly different estimates would admit all or none.
    pub draw: f64,
}
