use serde::{Deserialize, Serialize};

use crate::platform::{Table, TableError};
use crate::sidecar::{ClaimKey, ClaimRow, ClaimState, StoredAnswer};

/// What is known of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum KeyState {
    /// No request with this key has started.
    Free,
    /// A request may be running at this moment, or its sidecar died while it ran.
    Started {
        /// Seconds since 1970 when it started.
        at: u64,
    },
    /// A request ran to its end.
    Ended {
        /// Its answer.
        answer: StoredAnswer,
    },
    /// A request ended without an answer: it may or may not have run, and never will again.
    Unsettled,
}

/// Looks an idempotency key up for a client account (`team/account`) at a service.
///
/// # Errors
/// [`TableError`] if the platform's table gives no answer.
pub async fn look_up_key<P: Table>(
    platform: &P,
    account: &str,
    service: &str,
    key: &str,
) -> Result<KeyState, TableError> {
    let key = ClaimKey::new(account, service, key);
    let Some(row) = platform.get(key.as_str()).await? else {
        return Ok(KeyState::Free);
    };
    let row: ClaimRow = row.read()?;
    Ok(match row.state {
        ClaimState::Started => KeyState::Started { at: row.at },
        ClaimState::Ended(answer) => KeyState::Ended { answer },
        ClaimState::Unsettled => KeyState::Unsettled,
    })
}
