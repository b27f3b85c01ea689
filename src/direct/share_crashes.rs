use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::event::Event;
use super::link::Link;
use super::{Crashes, Directory, DirectoryError};
use crate::event_log::{EventLog, Level};
use crate::platform::{Row, Table, TableError, Txn};

/// Longest wait of one call for crashes that other entries know of.
const WAIT: Duration = Duration::from_secs(20);
/// Time for which a row counts, in seconds.
const MEMORY_S: u64 = 600;
/// Rows of crashes begin with this.
const PREFIX: &str = "crashes/";
/// Times that a crash is written while others write the same row.
const TRIES: usize = 4;

/// Crashes that all entries together know of for one request.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
struct CrashesRow {
    crashes: u32,
    /// Unix time of the last one in seconds.
    at: u64,
}

impl CrashesRow {
    fn is_recent(self) -> bool {
        self.at + MEMORY_S > unix_seconds()
    }
}

/// What an entry found out, for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// A request was in flight at one more crash.
    Crashed(u64),
    /// A suspected request has run to its end.
    Cleared(u64),
}

/// Shares with the other entries which requests crash upstreams.
#[derive(Debug)]
pub(super) struct ShareCrashes<D> {
    pub(super) directory: Arc<D>,
    pub(super) crashes: Arc<Crashes>,
    pub(super) log: EventLog,
}

impl<D: Directory + Table> ShareCrashes<D> {
    /// Learns of crashes until the process ends.
    pub(super) async fn follow(self) {
        let mut link = Link::new("crashes", self.log.clone());
        let mut cursor = None;
        loop {
            let answered = match cursor {
                Some(cursor) => self.directory.watch_rows(cursor, WAIT).await,
                None => self.directory.read_rows().await,
            };
            match answered {
                Ok(changes) => {
                    link.up();
                    changes.items.iter().for_each(|row| self.learn(row));
                    cursor = Some(changes.cursor);
                }
                Err(DirectoryError::HistoryGone) => cursor = None,
                Err(err) => sleep(link.down(&err.to_string())).await,
            }
        }
    }

    fn learn(&self, row: &Row) {
        let print = row.key.strip_prefix(PREFIX).and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let Some(print) = print else { return };
        match row.read::<CrashesRow>() {
            Ok(known) if known.is_recent() => {
                self.crashes.learn(print, known.crashes, Instant::now());
            }
            Ok(_) => {}
            Err(err) => {
                let event = Event::CrashesUnusable { detail: err.to_string() };
                self.log.write(Level::Warn, &event);
            }
        }
    }

    /// Tells the others what this entry finds out, until the process ends.
    pub(super) async fn tell(self, mut findings: mpsc::Receiver<Finding>) {
        while let Some(finding) = findings.recv().await {
            let mut told = Err(TableError::Conflict);
            for _ in 0..TRIES {
                told = self.write(finding).await;
                if told != Err(TableError::Conflict) {
                    break;
                }
            }
            if let Err(err) = told {
                let event = Event::CrashesUnusable { detail: format!("not told: {err}") };
                self.log.write(Level::Warn, &event);
            }
        }
    }

    async fn write(&self, finding: Finding) -> Result<(), TableError> {
        let (Finding::Crashed(print) | Finding::Cleared(print)) = finding;
        let key = format!("{PREFIX}{print:x}");
        let row = self.directory.get(&key).await?;
        let version = row.as_ref().map(|row| row.version);
        let known = row.and_then(|row| row.read::<CrashesRow>().ok());
        let known = known.filter(|known| known.is_recent()).map_or(0, |known| known.crashes);
        let txn = Txn::new().check(&key, version);
        let txn = match finding {
            Finding::Crashed(_) => {
                let crashes = known + 1;
                self.crashes.learn(print, crashes, Instant::now());
                txn.put(&key, &CrashesRow { crashes, at: unix_seconds() })
            }
            Finding::Cleared(_) if version.is_none() => return Ok(()),
            Finding::Cleared(_) => txn.delete(&key),
        };
        self.directory.commit(&txn).await.map(drop)
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
