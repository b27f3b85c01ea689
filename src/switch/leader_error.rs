use displaydoc::Display;
use thiserror::Error;

/// Why a leader could not go on. The group goes on with its present map.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum LeaderError {
    /// the lease has run out
    LeaseLost,
    /// the platform's store gives no answer
    StoreDown,
    /// rank {0} does not answer
    RankLost(usize),
    /// a leader with a greater fencing number is at work
    Outdated,
    /// the group is not whole: {0} of {1} ranks are known
    Incomplete(usize, usize),
}
