use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::StoredAnswer;
use crate::id::{AttemptId, Incarnation};

/// Name of the row that holds the claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey(String);

/// How far the request behind a claim has come.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It may run at this moment, or its sidecar died while it ran.
    Started,
    /// It ran to its end.
    Ended(StoredAnswer),
    /// Its sidecar saw it end without an answer.
    Unsettled,
}

/// The claim on an idempotency key: whoever inserts it may run the request, nobody else ever.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// Attempt that made the claim.
    pub attempt: AttemptId,
    /// Sidecar that made the claim.
    pub owner: Incarnation,
    /// Digest of method, path and body.
    pub digest: String,
    /// Seconds since 1970 when the claim was made, for people.
    pub at: u64,
    /// How far the request has come.
    pub state: ClaimState,
}

impl ClaimKey {
    /// Names the claim of a client account (`team/account`) on a key at a service.
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

    /// The row's name.
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
    /// A claim of a request that is about to start.
    pub fn started(attempt: AttemptId, owner: Incarnation, digest: &str) -> Self {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        Self { attempt, owner, digest: digest.to_owned(), at, state: ClaimState::Started }
    }

    /// Digest of what a key was used for.
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
