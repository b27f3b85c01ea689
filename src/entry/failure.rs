use crate::outcome::{Outcome, Reason};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the attempt ran.
    pub outcome: Outcome,
    /// Why it failed.
    pub reason: Reason,
}

impl Failure {
    /// A failure of an attempt that did not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason }
    }

    /// A failure of an attempt that may or may not have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason }
    }
}
