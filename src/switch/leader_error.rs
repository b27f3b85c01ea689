use displaydoc::Display;
use thiserror::Error;

/// Why an operation of a leader failed. The group keeps running with its present map unless a rank
/// is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum LeaderError {
    /// the lease has expired
    LeaseLost,
    /// the platform's store does not answer
    StoreDown,
    /// rank {0} does not answer
    RankLost(usize),
    /// a leader with a greater fencing token is active
    Outdated,
    /// the group is incomplete: {0} of {1} ranks are known
    Incomplete(usize, usize),
}
