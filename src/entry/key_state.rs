use serde::{Deserialize, Serialize};

use crate::platform::{Table, TableError};
use crate::sidecar::{ClaimKey, ClaimRow, ClaimState, StoredAnswer};

/// State of the request that an idempotency key stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum KeyState {
    /// No request with this key has started.
    Free,
    /// A request has started: it may still be running, or its sidecar died while it ran.
    Started {
        /// Unix time of the start in seconds.
        at: u64,
    },
    /// A request ran to completion.
    Ended {
        /// Its stored response.
        answer: StoredAnswer,
    },
    /// A request ended without a response: it may or may not have run, and will never run
    /// again.
    Unsettled,
}

/// Looks up an idempotency key of a client account (`team/account`) at a service (`team/service`).
///
/// # Errors
/// [`TableError`] if the platform's table can't be read.
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
