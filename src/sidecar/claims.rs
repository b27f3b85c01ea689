use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

use super::{ClaimError, ClaimKey, ClaimRow, ClaimState, StoredAnswer};
use crate::id::{AttemptId, Incarnation};
use crate::metrics::{Event, Meter};
use crate::platform::{Table, TableError, Txn};

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum time for which a failed write of a claim's final state is retried.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(300);

/// Claims on idempotency keys in the platform's table.
#[derive(Debug)]
pub struct Claims<P> {
    platform: Arc<P>,
    owner: Incarnation,
    meter: Arc<Meter>,
    tasks: TaskTracker,
}

/// A claim that this process has won and whose final state it has not written yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    key: ClaimKey,
    row: ClaimRow,
}

/// Result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request may start. No other request under this key may, unless this claim is withdrawn.
    Won(HeldClaim),
    /// The request has run, and this is its response.
    Ended(StoredAnswer),
    /// Another attempt has claimed the key and not written a final state.
    InProgress,
    /// Another attempt ended without a response. Whether it took effect is unknown.
    Unsettled,
    /// The key was used for a different request.
    KeyReused,
}

impl<P: Table> Claims<P> {
    /// Creates a client that claims keys for the given sidecar incarnation. Writes that are retried
    /// in the background run as tasks of the tracker.
    pub const fn new(
        platform: Arc<P>,
        owner: Incarnation,
        meter: Arc<Meter>,
        tasks: TaskTracker,
    ) -> Self {
        Self { platform, owner, meter, tasks }
    }

    /// Claims a key in one conditional write, which is retried until the table gives a definite
    /// result.
    ///
    /// # Errors
    /// [`ClaimError::StoreDown`] at once if the table fails and no write can have taken effect, or
    /// if there is no definite result before the deadline. In the second case the claim is
    /// withdrawn in the background, since the write may have taken effect.
    pub async fn claim(
        &self,
        key: &ClaimKey,
        attempt: AttemptId,
        digest: &str,
        deadline: Instant,
    ) -> Result<ClaimOutcome, ClaimError> {
        let row = ClaimRow::started(attempt, self.owner, digest);
        let held = HeldClaim { key: key.clone(), row };
        let txn = Txn::new().check(key.as_str(), None).put(key.as_str(), &held.row);
        let mut backoff = INITIAL_BACKOFF;
        let mut may_have_written = false;
        loop {
            self.meter.count(Event::TableWrite);
            match self.platform.commit(&txn).await {
                Ok(_) => return Ok(ClaimOutcome::Won(held)),
                Err(TableError::Conflict) => {
                    if let Some(claimed) = self.read_winner(&held).await {
                        return Ok(claimed);
                    }
                }
                Err(TableError::Unavailable(_) | TableError::Malformed(_)) if !may_have_written => {
                    return Err(ClaimError::StoreDown);
                }
                Err(_) => may_have_written = true,
            }
            if Instant::now() + backoff >= deadline {
                self.spawn_withdrawal(held, false);
                return Err(ClaimError::StoreDown);
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Reads the row that caused a conflict and returns what it means for this claim; `None` if the
    /// row can't be read or no longer exists.
    async fn read_winner(&self, held: &HeldClaim) -> Option<ClaimOutcome> {
        self.meter.count(Event::TableRead);
        let row = self.platform.get(held.key.as_str()).await.ok()??;
        let row: ClaimRow = row.read().ok()?;
        if row.attempt == held.row.attempt {
            return Some(ClaimOutcome::Won(held.clone()));
        }
        if row.digest != held.row.digest {
            return Some(ClaimOutcome::KeyReused);
        }
        Some(match row.state {
            ClaimState::Started => ClaimOutcome::InProgress,
            ClaimState::Ended(answer) => ClaimOutcome::Ended(answer),
            ClaimState::Unsettled => ClaimOutcome::Unsettled,
        })
    }

    /// Stores the response for repeats of the key.
    pub async fn finish(&self, held: HeldClaim, answer: StoredAnswer) {
        self.write_final_state(held, Some(ClaimState::Ended(answer))).await;
    }

    /// Records that the request ended without a response.
    pub async fn mark_unsettled(&self, held: HeldClaim) {
        self.write_final_state(held, Some(ClaimState::Unsettled)).await;
    }

    /// Withdraws the claim of a request that did not start, so that a retry finds the key free.
    pub async fn release(&self, held: HeldClaim) {
        self.write_final_state(held, None).await;
    }

    /// Withdraws a claim in the background.
    fn spawn_withdrawal(&self, held: HeldClaim, written: bool) {
        let platform = Arc::clone(&self.platform);
        self.tasks.spawn(FinalWrite { platform, held, state: None, written }.persist());
    }

    /// Writes the final state of a claim, or deletes its row if there is none. If the first try
    /// fails, a task retries it in the background.
    async fn write_final_state(&self, held: HeldClaim, state: Option<ClaimState>) {
        self.meter.count(Event::TableWrite);
        let platform = Arc::clone(&self.platform);
        let write = FinalWrite { platform, held, state, written: true };
        if !write.try_once().await {
            self.tasks.spawn(write.persist());
        }
    }
}

/// The final state of a claim that is being written to the table.
struct FinalWrite<P> {
    platform: Arc<P>,
    held: HeldClaim,
    /// New state of the row; `None` to delete it.
    state: Option<ClaimState>,
    /// Whether the write of the claim is known to have taken effect.
    written: bool,
}

impl<P: Table> FinalWrite<P> {
    /// Retries until nothing is left to do or [`FINAL_WRITE_TIMEOUT`] has passed.
    async fn persist(self) {
        let end = Instant::now() + FINAL_WRITE_TIMEOUT;
        let mut backoff = INITIAL_BACKOFF;
        while Instant::now() < end && !self.try_once().await {
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Tries the write once. Returns true if nothing is left to do: the row has a final state, is
    /// deleted, can't be parsed, or belongs to another claim.
    async fn try_once(&self) -> bool {
        let key = self.held.key.as_str();
        let stored = match self.platform.get(key).await {
            Ok(Some(stored)) => stored,
            // An absent row needs no final state, unless the write of the claim is unconfirmed and
            // may still arrive.
            Ok(None) => return self.written,
            Err(_) => return false,
        };
        let Ok(row) = stored.read::<ClaimRow>() else {
            return true;
        };
        if row.attempt != self.held.row.attempt || row.state != ClaimState::Started {
            return true;
        }
        let txn = Txn::new().check(key, Some(stored.version));
        let txn = match &self.state {
            Some(state) => txn.put(key, &ClaimRow { state: state.clone(), ..row }),
            None => txn.delete(key),
        };
        self.platform.commit(&txn).await.is_ok()
    }
}
