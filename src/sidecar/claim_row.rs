use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::StoredAnswer;
use crate::id::{AttemptId, Incarnation};
use crate::units::unix_seconds;

/// Name of the row that holds the claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey(String);

/// Progress of the request that a claim belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The request may be running, or its sidecar died while it ran.
    Started,
    /// The request ran to its end.
    Ended(StoredAnswer),
    /// The sidecar saw the request end without a response. Whether it took effect is unknown.
    Unsettled,
}

/// The claim on an idempotency key. The attempt that inserts the row may run the request, and no
/// other ever may, unless the row is deleted because the request has not started.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// Attempt that made the claim.
    pub attempt: AttemptId,
    /// Sidecar that made the claim.
    pub owner: Incarnation,
    /// Digest of method, path and body.
    pub digest: String,
    /// Unix time in seconds at which the claim was made, for operators only.
    pub at: u64,
    /// Progress of the request.
    pub state: ClaimState,
}

impl ClaimKey {
    /// Derives the row name for a client account (`team/account`), a service and the caller's key.
    ///
    /// ```
    /// # use ebonyusher::sidecar::ClaimKey;
    /// assert_ne!(ClaimKey::new("t/a", "t/s", "1"), ClaimKey::new("t/a", "t/s", "2"));
    /// ```
    pub fn new(account: &str, service: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [account, service, key] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
        Self(format!("claim/{}", hex(&hash.finalize())))
    }

    /// Returns the name of the row.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

impl ClaimRow {
    /// Makes the claim of a request that is about to start.
    pub fn started(attempt: AttemptId, owner: Incarnation, digest: &str) -> Self {
        let at = unix_seconds(Duration::ZERO);
        Self { attempt, owner, digest: digest.to_owned(), at, state: ClaimState::Started }
    }

    /// Computes the digest that detects the use of one key for different requests.
    pub fn digest_of(method: &str, path: &str, body: &[u8]) -> String {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hex(&hash.finalize())
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
