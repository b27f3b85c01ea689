use crate::outcome::{Outcome, Reason};

/// How an attempt without an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What became of the attempt.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
}

impl Failure {
    /// The attempt did not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason }
    }

    /// It is not known whether the attempt ran.
    pub const fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason }
    }
}
