use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::{EntryRow, KnownEntries};
use crate::direct::RowChange;
use crate::direct::feeds::PlatformHealth;
use crate::event_log::EventLog;
use crate::platform::{Row, Table, Txn};
use crate::units::{BootTime, unix_seconds};

/// Prefix of the keys of the entries' rows.
const KEY_PREFIX: &str = "entries/";
/// Time between two renewals of an entry's row. Each renewal is read by all entries.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2 * 3_600);
/// Age of a renewal after which an entry's row is removed.
const EXPIRY_AGE: Duration = Duration::from_secs(6 * 3_600);

/// Tells the other entries that this one exists, through the platform's table, and reads their rows.
#[derive(Debug)]
pub(in crate::direct) struct EntrySharing {
    known: Arc<KnownEntries>,
    /// Notified when this entry finds that it has no row.
    unlisted: Notify,
    log: EventLog,
}

impl EntrySharing {
    /// Creates the sharing of a record.
    pub(in crate::direct) fn new(known: Arc<KnownEntries>, log: EventLog) -> Self {
        Self { known, unlisted: Notify::new(), log }
    }

    /// Applies a change of the table, if it is the row of an entry. What the row holds does not
    /// matter: it counts as an entry also if it can't be read.
    pub(in crate::direct) fn apply(&self, change: &RowChange) {
        let Some(entry) = change.key().strip_prefix(KEY_PREFIX) else {
            return;
        };
        match change {
            RowChange::Removed(_) => self.known.remove(entry),
            RowChange::Written(_) | RowChange::Unusable(..) => {
                self.known.record(entry, BootTime::now());
            }
        }
        if !self.known.is_listed() {
            self.unlisted.notify_one();
        }
    }

    /// Applies the whole table, after each of its rows. Entries that it lacks stay counted, since the
    /// table may have come back from an older copy.
    pub(in crate::direct) fn apply_all(&self, changes: &[RowChange]) {
        let own_key = self.key();
        if !changes.iter().any(|change| change.key() == own_key) {
            self.known.remove(self.known.name());
            self.unlisted.notify_one();
        }
    }

    fn record_written(&self, health: &mut PlatformHealth) {
        health.record_success();
        self.known.record(self.known.name(), BootTime::now());
    }

    fn key(&self) -> String {
        format!("{KEY_PREFIX}{}", self.known.name())
    }

    /// Writes the row of this entry when it is missing or due, until the process ends.
    pub(in crate::direct) async fn publish(self: Arc<Self>, table: Arc<impl Table>) {
        let mut health = PlatformHealth::new("entries", self.log.clone());
        loop {
            let is_due = timeout(RENEWAL_INTERVAL, self.unlisted.notified()).await.is_err();
            if !is_due && self.known.is_listed() {
                continue;
            }
            loop {
                let mut txn = Txn::new().put(&self.key(), &EntryRow { renewed: now_s() });
                if is_due {
                    txn = remove_expired(&*table, txn).await;
                }
                match table.commit(&txn).await {
                    Ok(_) => break self.record_written(&mut health),
                    Err(err) => sleep(health.record_failure(&err.to_string())).await,
                }
            }
        }
    }
}

/// Adds the removal of the rows of entries that are gone for long. Rows that can't be read now are
/// removed another time.
async fn remove_expired(table: &impl Table, txn: Txn) -> Txn {
    let oldest = now_s().saturating_sub(EXPIRY_AGE.as_secs());
    let is_expired = |row: &Row| row.read::<EntryRow>().is_ok_and(|entry| entry.renewed < oldest);
    let rows = table.scan(KEY_PREFIX).await.unwrap_or_default();
    let expired = rows.iter().filter(|row| is_expired(row));
    expired.fold(txn, |txn, row| txn.delete(&row.key))
}

fn now_s() -> u64 {
    unix_seconds(Duration::ZERO)
}
