use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::event::Event;
use super::link::Link;
use super::{Crashes, Directory, DirectoryError, SharedCrashes};
use crate::event_log::{EventLog, Level};
use crate::platform::{Row, Table, TableError, Txn};

/// Longest wait of one call for crashes that other entries know of.
const WAIT: Duration = Duration::from_secs(20);
/// Rows of crashes begin with this.
const PREFIX: &str = "crashes/";
/// Times that a crash is written while others write the same row.
const TRIES: usize = 4;

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
            match self.directory.rows(cursor, WAIT).await {
                Ok(changes) => {
                    link.up();
                    changes.items.iter().for_each(|row| self.learn(row.as_ref()));
                    cursor = Some(changes.cursor);
                }
                Err(DirectoryError::HistoryGone) => cursor = None,
                Err(err) => sleep(link.down(&err.to_string())).await,
            }
        }
    }

    fn learn(&self, row: Result<&Row, &TableError>) {
        match row.map_err(TableError::clone).and_then(read_crashes) {
            Ok(Some((print, known))) if known.is_recent(unix_seconds()) => {
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
        let txn = Txn::new().check(&key, version);
        let txn = match finding {
            Finding::Crashed(_) => {
                let now = unix_seconds();
                let known = row.map(|row| row.read::<SharedCrashes>()).transpose()?;
                let shared = known.map_or(SharedCrashes::first(now), |known| known.and_one(now));
                self.crashes.learn(print, shared.crashes, Instant::now());
                txn.put(&key, &shared)
            }
            Finding::Cleared(_) if version.is_none() => return Ok(()),
            Finding::Cleared(_) => txn.delete(&key),
        };
        self.directory.commit(&txn).await.map(drop)
    }
}

/// What a row says of a request, if it is one of crashes.
fn read_crashes(row: &Row) -> Result<Option<(u64, SharedCrashes)>, TableError> {
    let print = row.key.strip_prefix(PREFIX).and_then(|hex| u64::from_str_radix(hex, 16).ok());
    print.map(|print| Ok((print, row.read()?))).transpose()
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
