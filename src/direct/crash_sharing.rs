use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::dispatch_log::hex;
use super::event::Event;
use super::platform_health::PlatformHealth;
use super::{Crashes, Directory, DirectoryError, SharedCrashCount};
use crate::event_log::{EventLog, Level};
use crate::platform::{Row, Table, TableError, Txn};

/// Maximum time that one call waits for crashes recorded by other entries.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Prefix of the keys of crash rows.
const KEY_PREFIX: &str = "crashes/";
/// Maximum number of tries to write a row while other entries write the same one.
const MAX_TRIES: usize = 4;

/// A change of the crash count of a request, for the other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashUpdate {
    /// An upstream crashed while it ran the request with this fingerprint.
    Crashed(u64),
    /// The suspected request with this fingerprint has completed.
    Cleared(u64),
}

/// Shares crash counts of requests with the other entries through the platform's table.
#[derive(Debug)]
pub(super) struct CrashSharing<D> {
    pub(super) directory: Arc<D>,
    pub(super) crashes: Arc<Crashes>,
    pub(super) log: EventLog,
}

impl<D: Directory + Table> CrashSharing<D> {
    /// Applies the counts of other entries until the process ends.
    pub(super) async fn follow(self) {
        let mut health = PlatformHealth::new("crashes", self.log.clone());
        let mut cursor = None;
        loop {
            match self.directory.rows(cursor, MAX_WAIT).await {
                Ok(changes) => {
                    health.record_success();
                    changes.items.iter().for_each(|row| self.apply(row.as_ref()));
                    cursor = Some(changes.cursor);
                }
                Err(DirectoryError::HistoryGone) => cursor = None,
                Err(err) => sleep(health.record_failure(&err.to_string())).await,
            }
        }
    }

    fn apply(&self, row: Result<&Row, &TableError>) {
        match row.map_err(TableError::clone).and_then(read_crashes) {
            Ok(Some((fingerprint, known))) if known.is_recent(unix_seconds()) => {
                if self.crashes.merge(fingerprint, known.crashes, Instant::now()) {
                    let (fingerprint, crashes) = (hex(fingerprint), known.crashes);
                    let event = Event::CrashesLearned { fingerprint, crashes };
                    self.log.write(Level::Info, &event);
                }
            }
            Ok(_) => {}
            Err(err) => {
                let event = Event::CrashesUnusable { detail: err.to_string() };
                self.log.write(Level::Warn, &event);
            }
        }
    }

    /// Writes the updates of this entry for the other entries until the process ends.
    pub(super) async fn publish(self, mut crash_updates: mpsc::Receiver<CrashUpdate>) {
        while let Some(update) = crash_updates.recv().await {
            let mut result = Err(TableError::Conflict);
            for _ in 0..MAX_TRIES {
                result = self.write(update).await;
                if result != Err(TableError::Conflict) {
                    break;
                }
            }
            if let Err(err) = result {
                let event =
                    Event::CrashesUnusable { detail: format!("crash update not shared: {err}") };
                self.log.write(Level::Warn, &event);
            }
        }
    }

    async fn write(&self, update: CrashUpdate) -> Result<(), TableError> {
        let (CrashUpdate::Crashed(fingerprint) | CrashUpdate::Cleared(fingerprint)) = update;
        let key = format!("{KEY_PREFIX}{fingerprint:x}");
        let row = self.directory.get(&key).await?;
        let version = row.as_ref().map(|row| row.version);
        let txn = Txn::new().check(&key, version);
        let txn = match update {
            CrashUpdate::Crashed(_) => {
                let now = unix_seconds();
                let known = row.map(|row| row.read::<SharedCrashCount>()).transpose()?;
                let shared =
                    known.map_or(SharedCrashCount::first(now), |known| known.incremented(now));
                self.crashes.merge(fingerprint, shared.crashes, Instant::now());
                txn.put(&key, &shared)
            }
            CrashUpdate::Cleared(_) if version.is_none() => return Ok(()),
            CrashUpdate::Cleared(_) => txn.delete(&key),
        };
        self.directory.commit(&txn).await?;
        if let CrashUpdate::Crashed(_) = update {
            let crashes = self.crashes.count(fingerprint);
            let event = Event::CrashesShared { fingerprint: hex(fingerprint), crashes };
            self.log.write(Level::Info, &event);
        }
        Ok(())
    }
}

/// Returns the fingerprint and the count of a row, or `None` if it is not a crash row.
fn read_crashes(row: &Row) -> Result<Option<(u64, SharedCrashCount)>, TableError> {
    let fingerprint =
        row.key.strip_prefix(KEY_PREFIX).and_then(|hex| u64::from_str_radix(hex, 16).ok());
    fingerprint.map(|fingerprint| Ok((fingerprint, row.read()?))).transpose()
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
