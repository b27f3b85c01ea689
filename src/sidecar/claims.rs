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
/// How long the end of a request is offered to a table that does not answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Claims on idempotency keys in the platform's table.
#[derive(Debug)]
pub struct Claims<P> {
    platform: Arc<P>,
    owner: Incarnation,
    meter: Arc<Meter>,
    tasks: TaskTracker,
}

/// A claim that this process has made and not yet settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    key: ClaimKey,
    row: ClaimRow,
}

/// What became of a try to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request may start, and no other ever will under this key.
    Won(HeldClaim),
    /// The request has run: this is its answer.
    Ended(StoredAnswer),
    /// Another attempt has started it and not settled it.
    InProgress,
    /// Another attempt ended without an answer.
    Unsettled,
    /// The key was used with another body.
    KeyReused,
}

impl<P: Table> Claims<P> {
    /// Makes claims in the name of a process. Rows that have to be settled later are written by
    /// tasks of the tracker.
    pub const fn new(
        platform: Arc<P>,
        owner: Incarnation,
        meter: Arc<Meter>,
        tasks: TaskTracker,
    ) -> Self {
        Self { platform, owner, meter, tasks }
    }

    /// Claims a key in one conditional write, sent again until the table gives a definite answer.
    ///
    /// # Errors
    /// [`ClaimError::StoreDown`] if there is none before the deadline. The claim is then withdrawn
    /// in the background, since the write may have taken effect.
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

    /// Tells from the present row what a lost race means; nothing if the row can't be read or is
    /// gone again.
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

    /// Keeps the answer for repeats of the key.
    pub async fn finish(&self, held: HeldClaim, answer: StoredAnswer) {
        self.settle(held, Some(ClaimState::Ended(answer))).await;
    }

    /// Records that the request ended without an answer.
    pub async fn mark_unsettled(&self, held: HeldClaim) {
        self.settle(held, Some(ClaimState::Unsettled)).await;
    }

    /// Withdraws the claim of a request that did not start, so that a retry finds the key free.
    pub async fn release(&self, held: HeldClaim) {
        self.settle(held, None).await;
    }

    fn spawn_withdrawal(&self, held: HeldClaim, written: bool) {
        let platform = Arc::clone(&self.platform);
        self.tasks.spawn(Settlement { platform, held, state: None, written }.persist());
    }

    /// Tries once, and leaves the rest to a task if the table does not answer.
    async fn settle(&self, held: HeldClaim, state: Option<ClaimState>) {
        self.meter.count(Event::TableWrite);
        let platform = Arc::clone(&self.platform);
        let settlement = Settlement { platform, held, state, written: true };
        if !settlement.try_once().await {
            self.tasks.spawn(settlement.persist());
        }
    }
}

/// The end of a claim that is on its way into the table.
struct Settlement<P> {
    platform: Arc<P>,
    held: HeldClaim,
    /// What the row shall say, nothing if it shall go.
    state: Option<ClaimState>,
    /// Whether the write of the claim is known to have taken effect.
    written: bool,
}

impl<P: Table> Settlement<P> {
    async fn persist(self) {
        let end = Instant::now() + SETTLE_TIMEOUT;
        let mut backoff = INITIAL_BACKOFF;
        while Instant::now() < end && !self.try_once().await {
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Whether the row is settled, or is not this claim's own.
    async fn try_once(&self) -> bool {
        let key = self.held.key.as_str();
        let stored = match self.platform.get(key).await {
            Ok(Some(stored)) => stored,
            // A lost write of the claim may still arrive, so an absent row is not the end of it.
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
