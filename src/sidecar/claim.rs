use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

use super::{ClaimError, ClaimKey, ClaimRow, ClaimState, StoredAnswer};
use crate::id::{AttemptId, Incarnation};
use crate::metrics::{Event, Meter};
use crate::platform::{Table, TableError, Txn};

const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// How long the end of a request is offered to a table that does not answer.
const SETTLE_PATIENCE: Duration = Duration::from_secs(300);

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
pub struct Held {
    key: ClaimKey,
    row: ClaimRow,
}

/// What became of a try to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The request may start, and no other ever will under this key.
    Won(Held),
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
    ) -> Result<Claimed, ClaimError> {
        let row = ClaimRow::started(attempt, self.owner, digest);
        let held = Held { key: key.clone(), row };
        let txn = Txn::new().check(key.as_str(), None).put(key.as_str(), &held.row);
        let mut pause = FIRST_PAUSE;
        let mut unsure = false;
        loop {
            self.meter.count(Event::TableWrite);
            match self.platform.commit(&txn).await {
                Ok(_) => return Ok(Claimed::Won(held)),
                Err(TableError::Conflict) => {
                    if let Some(claimed) = self.read_back(&held).await {
                        return Ok(claimed);
                    }
                }
                Err(TableError::Unavailable(_) | TableError::Malformed(_)) if !unsure => {
                    return Err(ClaimError::StoreDown);
                }
                Err(_) => unsure = true,
            }
            if Instant::now() + pause >= deadline {
                self.spawn_withdrawal(held, false);
                return Err(ClaimError::StoreDown);
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Tells from the present row what a lost race means; nothing if the row can't be read or is
    /// gone again.
    async fn read_back(&self, held: &Held) -> Option<Claimed> {
        self.meter.count(Event::TableRead);
        let row = self.platform.get(held.key.as_str()).await.ok()??;
        let row: ClaimRow = row.read().ok()?;
        if row.attempt == held.row.attempt {
            return Some(Claimed::Won(held.clone()));
        }
        if row.digest != held.row.digest {
            return Some(Claimed::KeyReused);
        }
        Some(match row.state {
            ClaimState::Started => Claimed::InProgress,
            ClaimState::Ended(answer) => Claimed::Ended(answer),
            ClaimState::Unsettled => Claimed::Unsettled,
        })
    }

    /// Keeps the answer for repeats of the key.
    pub async fn finish(&self, held: Held, answer: StoredAnswer) {
        self.settle(held, Some(ClaimState::Ended(answer))).await;
    }

    /// Records that the request ended without an answer.
    pub async fn unsettle(&self, held: Held) {
        self.settle(held, Some(ClaimState::Unsettled)).await;
    }

    /// Withdraws the claim of a request that did not start, so that a retry finds the key free.
    pub async fn release(&self, held: Held) {
        self.settle(held, None).await;
    }

    fn spawn_withdrawal(&self, held: Held, written: bool) {
        let platform = Arc::clone(&self.platform);
        self.tasks.spawn(Settling { platform, held, state: None, written }.persist());
    }

    /// Tries once, and leaves the rest to a task if the table does not answer.
    async fn settle(&self, held: Held, state: Option<ClaimState>) {
        self.meter.count(Event::TableWrite);
        let platform = Arc::clone(&self.platform);
        let settling = Settling { platform, held, state, written: true };
        if !settling.try_once().await {
            self.tasks.spawn(settling.persist());
        }
    }
}

/// The end of a claim that is on its way into the table.
struct Settling<P> {
    platform: Arc<P>,
    held: Held,
    /// What the row shall say, nothing if it shall go.
    state: Option<ClaimState>,
    /// Whether the write of the claim is known to have taken effect.
    written: bool,
}

impl<P: Table> Settling<P> {
    async fn persist(self) {
        let end = Instant::now() + SETTLE_PATIENCE;
        let mut pause = FIRST_PAUSE;
        while Instant::now() < end && !self.try_once().await {
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Whether the row is settled, or is not this claim's own.
    async fn try_once(&self) -> bool {
        let key = self.held.key.as_str();
        let present = match self.platform.get(key).await {
            Ok(Some(present)) => present,
            // A lost write of the claim may still arrive, so an absent row is not the end of it.
            Ok(None) => return self.written,
            Err(_) => return false,
        };
        let Ok(row) = present.read::<ClaimRow>() else {
            return true;
        };
        if row.attempt != self.held.row.attempt || row.state != ClaimState::Started {
            return true;
        }
        let txn = Txn::new().check(key, Some(present.version));
        let txn = match &self.state {
            Some(state) => txn.put(key, &ClaimRow { state: state.clone(), ..row }),
            None => txn.delete(key),
        };
        self.platform.commit(&txn).await.is_ok()
    }
}
