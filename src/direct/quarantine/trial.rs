use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use super::crash_sharing::{CrashSharing, row_key};
use super::hex::hex;
use crate::direct::event::Event;
use crate::event_log::Level;
use crate::platform::{Table, TableError, Txn};

/// Maximum time that a request waits for the right to a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks for the right to run a quarantined request once.
#[derive(Debug)]
pub(in crate::direct) struct TrialClaim {
    fingerprint: u64,
    granted: oneshot::Sender<bool>,
}

/// Claims trials of quarantined requests, one among all entries, through the platform's table.
#[derive(Debug)]
pub(in crate::direct) struct Trials(pub(in crate::direct) mpsc::Sender<TrialClaim>);

impl Trials {
    /// Returns whether this entry may run the request once. It may not if another entry does or if
    /// the table can't say.
    pub(in crate::direct) async fn claim(&self, fingerprint: u64) -> bool {
        let (granted, answer) = oneshot::channel();
        let is_queued = self.0.try_send(TrialClaim { fingerprint, granted }).is_ok();
        is_queued && timeout(CLAIM_TIMEOUT, answer).await.is_ok_and(|answer| answer == Ok(true))
    }
}

impl CrashSharing {
    /// Answers claims of trials until the process ends.
    pub(in crate::direct) async fn grant_trials(
        self,
        table: Arc<impl Table>,
        mut claims: mpsc::Receiver<TrialClaim>,
    ) {
        while let Some(TrialClaim { fingerprint, granted }) = claims.recv().await {
            if granted.is_closed() {
                continue;
            }
            let result = self.claim_trial(&*table, fingerprint).await;
            self.log_trial(fingerprint, &result);
            granted.send(result == Ok(true)).ok();
        }
    }

    /// Writes that a trial begins, if no other entry knows of more crashes or trials.
    async fn claim_trial(&self, table: &impl Table, fingerprint: u64) -> Result<bool, TableError> {
        let key = row_key(fingerprint);
        let row = table.get(&key).await?;
        let version = row.as_ref().map(|row| row.version);
        if let Some(row) = row {
            self.crashes.merge(fingerprint, &row.read()?, Instant::now());
        }
        let Some(next) = self.crashes.next_trial(fingerprint, Instant::now()) else {
            return Ok(false);
        };
        table.commit(&Txn::new().check(&key, version).put(&key, &next)).await?;
        self.crashes.merge(fingerprint, &next, Instant::now());
        Ok(true)
    }

    fn log_trial(&self, fingerprint: u64, result: &Result<bool, TableError>) {
        let detail = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let (fingerprint, granted) = (hex(fingerprint), *result == Ok(true));
        self.log.write(Level::Info, &Event::Trial { fingerprint, granted, detail });
    }
}
