use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::direct::entries::EntrySharing;
use crate::direct::feeds::{ChannelWatch, PlatformHealth};
use crate::direct::groups::GroupFeed;
use crate::direct::limits::LimitSharing;
use crate::direct::quarantine::CrashSharing;
use crate::direct::{Directory, DirectoryError, RowChange};
use crate::event_log::EventLog;

/// Maximum time that one call waits for rows written by other entries.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Minimum time between two reads, in which what several entries write of one crash gathers.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Follows the rows of the platform's table by which entries share what they know.
#[derive(Debug)]
pub(in crate::direct) struct RowFollower<D> {
    pub(in crate::direct) directory: Arc<D>,
    pub(in crate::direct) channels: Arc<ChannelWatch>,
    pub(in crate::direct) crash_sharing: CrashSharing,
    pub(in crate::direct) limit_sharing: Arc<LimitSharing>,
    pub(in crate::direct) group_feed: GroupFeed,
    pub(in crate::direct) entry_sharing: Arc<EntrySharing>,
    pub(in crate::direct) log: EventLog,
}

impl<D: Directory> RowFollower<D> {
    /// Applies what other entries write until the process ends.
    pub(in crate::direct) async fn run(self) {
        let mut health = PlatformHealth::new("shared rows", self.log.clone());
        let mut cursor = None;
        loop {
            let wait = health.begin_call(MAX_WAIT);
            match self.channels.call(wait, self.directory.rows(cursor, wait)).await {
                Ok(changes) => {
                    health.record_success();
                    changes.items.iter().for_each(|change| self.apply(change));
                    if cursor.is_none() {
                        self.crash_sharing.share_missing(&changes.items);
                        self.group_feed.retain(&changes.items);
                        self.entry_sharing.apply_all(&changes.items);
                    }
                    cursor = Some(changes.cursor);
                    let interval = self.limit_sharing.limits.read_interval(Instant::now());
                    sleep(interval.max(MIN_READ_INTERVAL)).await;
                }
                Err(DirectoryError::HistoryGone) => cursor = None,
                Err(DirectoryError::Rewound(era)) => {
                    health.record_rewind(era);
                    cursor = None;
                }
                Err(err) => sleep(health.record_failure(&err.to_string())).await,
            }
        }
    }

    fn apply(&self, change: &RowChange) {
        self.crash_sharing.apply(change);
        self.limit_sharing.apply(change);
        self.group_feed.apply(change);
        self.entry_sharing.apply(change);
    }
}
