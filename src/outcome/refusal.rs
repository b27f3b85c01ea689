use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Outcome, Reason};

/// Media type of a refusal's body (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Refusal or failure of a request, sent instead of a response of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it was refused or failed.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// Body of a refusal (RFC 9457).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// URI reference of the problem type, which ends in the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason as a sentence.
    pub title: String,
    /// HTTP status of the response.
    pub status: u16,
    /// Stable name of the reason.
    pub reason: String,
    /// Whether the request ran.
    pub outcome: Outcome,
}

impl Refusal {
    /// Creates a refusal of a request that did not run and will not.
    ///
    /// ```
    /// # use ebonyusher::outcome::{Outcome, Reason, Refusal};
    /// assert_eq!(Refusal::not_run(Reason::Overload).outcome, Outcome::NotRun);
    /// ```
    pub const fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after: None }
    }

    /// Creates a failure that leaves open whether the request ran.
    pub const fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the response body for the caller.
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
