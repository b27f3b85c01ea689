use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::crash_rows::RowContent;
use super::hex::hex;
use super::{Crashes, SharedCrashes};
use crate::direct::RowChange;
use crate::direct::event::Event;
use crate::direct::feeds::PlatformHealth;
use crate::event_log::{EventLog, Level};
use crate::platform::{Table, TableError, Txn};
use crate::units::unix_seconds;

/// Prefix of the keys of crash rows.
const KEY_PREFIX: &str = "crashed/";
/// Maximum number of rows that one transaction writes.
const MAX_ROWS: usize = 50;
/// Range of the time for which changes are gathered before a write, in milliseconds. It is random,
/// so that an entry mostly knows what the others have written of the same crash.
const GATHER_MS: RangeInclusive<u64> = 20..=120;

/// Shares crash counts of requests with the other entries through the platform's table.
///
/// Each row converges to all crashes that any entry knows: an entry writes what it knows until the
/// table has it, and again when a row lacks some. So writes need no condition, and one that is
/// lost, late or overtaken does no lasting harm.
#[derive(Clone, Debug)]
pub(in crate::direct) struct CrashSharing {
    pub(in crate::direct) crashes: Arc<Crashes>,
    pub(in crate::direct) log: EventLog,
}

impl CrashSharing {
    /// Writes again what the table, read as a whole, does not hold.
    pub(in crate::direct) fn share_missing(&self, rows: &[RowChange]) {
        self.crashes.share_all_but(&rows.iter().filter_map(fingerprint_of).collect());
    }

    /// Applies a change of the table, if it is a crash row.
    pub(in crate::direct) fn apply(&self, change: &RowChange) {
        let Some(fingerprint) = fingerprint_of(change) else {
            return;
        };
        let row = match change {
            RowChange::Written(row) => row,
            RowChange::Removed(_) => return self.crashes.merge_removal(fingerprint),
            RowChange::Unusable(_, err) => return self.log_unusable(err),
        };
        match row.read::<SharedCrashes>() {
            Ok(shared) if shared.is_recent(unix_seconds(Duration::ZERO)) => {
                if self.crashes.merge(fingerprint, &shared, Instant::now()) {
                    let crashes = self.crashes.count(fingerprint);
                    let fingerprint = hex(fingerprint);
                    let event = Event::CrashesLearned { fingerprint, crashes };
                    self.log.write(Level::Info, &event);
                }
            }
            Ok(_) => self.crashes.remove_row(fingerprint),
            Err(err) => self.log_unusable(&err),
        }
    }

    /// Writes what this entry knows for the other entries until the process ends.
    pub(in crate::direct) async fn publish(self, table: Arc<impl Table>) {
        let mut health = PlatformHealth::new("crash counts", self.log.clone());
        loop {
            self.crashes.unshared(MAX_ROWS).await;
            sleep(Duration::from_millis(rand::random_range(GATHER_MS))).await;
            let rows = self.crashes.unshared(MAX_ROWS).await;
            match table.commit(&write_rows(&rows)).await {
                Ok(_) => {
                    health.record_success();
                    rows.iter().for_each(|(key, content)| self.confirm(*key, content));
                }
                Err(err) => sleep(health.record_failure(&err.to_string())).await,
            }
        }
    }

    fn confirm(&self, fingerprint: u64, content: &RowContent) {
        self.crashes.confirm_shared(fingerprint, content);
        let crashes = content.as_ref().map_or(0, |shared| shared.crashes.count());
        let event = Event::CrashesShared { fingerprint: hex(fingerprint), crashes };
        self.log.write(Level::Info, &event);
    }

    fn log_unusable(&self, err: &TableError) {
        self.log.write(Level::Warn, &Event::CrashesUnusable { detail: err.to_string() });
    }
}

fn write_rows(rows: &[(u64, RowContent)]) -> Txn {
    rows.iter().fold(Txn::new(), |txn, (fingerprint, content)| {
        let key = row_key(*fingerprint);
        match content {
            Some(shared) => txn.put(&key, shared),
            None => txn.delete(&key),
        }
    })
}

/// Returns the key of a request's crash row.
pub(in crate::direct) fn row_key(fingerprint: u64) -> String {
    format!("{KEY_PREFIX}{}", hex(fingerprint))
}

/// Returns the fingerprint of a crash row, or `None` if it is another row.
fn fingerprint_of(change: &RowChange) -> Option<u64> {
    let hex = change.key().strip_prefix(KEY_PREFIX)?;
    u64::from_str_radix(hex, 16).ok()
}
