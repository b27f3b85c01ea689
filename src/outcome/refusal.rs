use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Outcome, Reason};

/// Media type of a refusal's body (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";

/// An answer other than the upstream's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When it may be worth another try.
    pub retry_after: Option<Duration>,
}

/// Body of a refusal (RFC 9457).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// Kind of problem, as a relative reference that ends in the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason in a sentence.
    pub title: String,
    /// Status of the answer.
    pub status: u16,
    /// Stable word of the reason.
    pub reason: String,
    /// What became of the request.
    pub outcome: Outcome,
}

impl Refusal {
    /// A refusal of a request that did not run and will not.
    ///
    /// ```
    /// # use ebonyusher::outcome::{Outcome, Reason, Refusal};
    /// assert_eq!(Refusal::not_run(Reason::Overload).outcome, Outcome::NotRun);
    /// ```
    pub const fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after: None }
    }

    /// A failure that leaves open whether the request has run.
    pub const fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_after: None }
    }

    /// Adds when it may be worth another try.
    #[must_use]
    pub const fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The body that tells a caller of it.
    pub fn problem(&self) -> Problem {
        Problem {
            kind: format!("/problems/{}", self.reason.as_str()),
            title: self.reason.to_string(),
            status: self.reason.status().as_u16(),
            reason: self.reason.as_str().to_owned(),
            outcome: self.outcome,
        }
    }
}
