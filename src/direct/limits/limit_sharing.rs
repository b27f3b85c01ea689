use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::{LimitChange, LimitRow, UpstreamLimits};
use crate::direct::event::Event;
use crate::direct::feeds::PlatformHealth;
use crate::direct::{DirectMeter, Roster, RowChange};
use crate::event_log::{EventLog, Level};
use crate::platform::{Table, Txn};

/// Prefix of the keys of the entries' rows.
const KEY_PREFIX: &str = "limits/";
/// Minimum time between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// Tells the other entries of the limits that this one knows, through the platform's table. Nothing
/// is written while no upstream names a limit or is cold.
#[derive(Debug)]
pub(in crate::direct) struct LimitSharing {
    pub(in crate::direct) limits: Arc<UpstreamLimits>,
    pub(in crate::direct) roster: Arc<Roster>,
    pub(in crate::direct) meter: Arc<DirectMeter>,
    pub(in crate::direct) log: EventLog,
}

impl LimitSharing {
    /// Applies a change of the table, if it is the row of an entry.
    pub(in crate::direct) fn apply(&self, change: &RowChange) {
        let Some(entry) = change.key().strip_prefix(KEY_PREFIX) else {
            return;
        };
        if let RowChange::Written(row) = change
            && let Ok(row) = row.read::<LimitRow>()
        {
            let changes = self.limits.apply(entry, &row, Instant::now());
            changes.iter().for_each(|change| self.log_change(change, entry));
            self.meter.limited_upstreams(self.limits.len());
        }
    }

    /// Writes the row of this entry until the process ends.
    pub(in crate::direct) async fn publish(self: Arc<Self>, table: Arc<impl Table>) {
        let mut health = PlatformHealth::new("limits", self.log.clone());
        let key = format!("{KEY_PREFIX}{}", self.limits.entry());
        loop {
            if self.limits.is_idle(Instant::now()) {
                self.limits.changed().await;
            } else {
                let interval = self.limits.renewal_interval(Instant::now());
                timeout(interval, self.limits.changed()).await.ok();
            }
            let listed = self.roster.ids();
            self.limits.retain(|id| listed.iter().any(|other| other == id));
            self.meter.limited_upstreams(self.limits.len());
            loop {
                let row = self.limits.next_row();
                match table.commit(&Txn::new().put(&key, &row)).await {
                    Ok(_) => break health.record_success(),
                    Err(err) => sleep(health.record_failure(&err.to_string())).await,
                }
            }
            sleep(MIN_WRITE_INTERVAL).await;
        }
    }

    fn log_change(&self, change: &LimitChange, source: &str) {
        self.log.write(Level::Info, &Event::limit(change, source));
    }
}
