use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::Suspects;
use crate::metrics::{Event, Meter};
use crate::peer::CrashReport;
use crate::platform::{Table, Txn};
use crate::units::unix_seconds;

/// Key of the row in the platform's table.
const SUSPECTS_KEY: &str = "suspects";
/// Maximum number of crashes in the row.
const MAX_CRASHES: usize = 32;
/// How long a crash stays in the row.
const CRASH_RETENTION_SECONDS: u64 = 600;
/// Entries that receive the same crash report write it after a random delay up to this, so that
/// usually only one of them has to.
const WRITE_SPREAD: Duration = Duration::from_millis(200);
/// Upper bound of that delay, which doubles while the table does not take the reports.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(2);

/// The row that shares recent crashes among all entries.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
struct SuspectsRow {
    crashes: Vec<StoredCrash>,
}

/// A crash in the row, with the Unix time in seconds of its recording.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct StoredCrash {
    /// The report, under its name in the stored row.
    note: CrashReport,
    at: u64,
}

/// Shares crashes with the other entries through the platform's table.
#[derive(Debug)]
pub(super) struct SuspectsSync<P> {
    pub(super) platform: Arc<P>,
    pub(super) suspects: Arc<Suspects>,
    pub(super) meter: Arc<Meter>,
}

impl<P: Table> SuspectsSync<P> {
    /// Records the crashes that other entries have shared.
    pub(super) async fn pull(&self) {
        self.meter.count(Event::TableRead);
        let Ok(Some(row)) = self.platform.get(SUSPECTS_KEY).await else {
            return;
        };
        let Ok(row) = row.read::<SuspectsRow>() else {
            return;
        };
        row.crashes.iter().for_each(|crash| self.suspects.record_crash(&crash.note));
    }

    /// Shares crashes that other entries have not shared yet, each until the table has it.
    pub(super) async fn share(&self, mut reports: mpsc::Receiver<CrashReport>) {
        let mut pending = Vec::new();
        while reports.recv_many(&mut pending, MAX_CRASHES).await > 0 {
            let mut spread = WRITE_SPREAD;
            while !self.try_share(&pending, spread).await {
                spread = (spread * 2).min(MAX_RETRY_SPREAD);
            }
            pending.clear();
        }
    }

    /// Tries once to add crashes to the row after a random delay, and returns whether the row now
    /// contains them.
    async fn try_share(&self, reports: &[CrashReport], spread: Duration) -> bool {
        sleep(rand::random_range(Duration::ZERO..spread)).await;
        let current = match self.platform.get(SUSPECTS_KEY).await {
            Ok(current) => current,
            Err(err) => {
                warn!("suspects: the table that entries share can't be read: {err}");
                return false;
            }
        };
        let version = current.as_ref().map(|row| row.version);
        let read = current.as_ref().map(|row| row.read::<SuspectsRow>());
        let mut row = read.and_then(Result::ok).unwrap_or_default();
        let is_listed =
            |report: &CrashReport| row.crashes.iter().any(|crash| crash.note.event == report.event);
        let missing: Vec<CrashReport> =
            reports.iter().filter(|report| !is_listed(report)).cloned().collect();
        if missing.is_empty() {
            return true;
        }
        let now = unix_seconds(Duration::ZERO);
        row.crashes.retain(|crash| crash.at + CRASH_RETENTION_SECONDS > now);
        row.crashes.extend(missing.into_iter().map(|note| StoredCrash { note, at: now }));
        let surplus = row.crashes.len().saturating_sub(MAX_CRASHES);
        row.crashes.drain(..surplus);
        self.meter.count(Event::TableWrite);
        let txn = Txn::new().check(SUSPECTS_KEY, version).put(SUSPECTS_KEY, &row);
        let result = self.platform.commit(&txn).await;
        if let Err(err) = &result {
            warn!("suspects: crashes are not yet in the table that entries share: {err}");
        }
        result.is_ok()
    }
}
