use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::direct::event::Event;
use crate::direct::feeds::{PlatformHealth, RoutingPublisher};
use crate::direct::{Changes, DirectMeter, Directory, DirectoryError, Freshness, RoutingChange};
use crate::event_log::{EventLog, Level};
use crate::units::BootTime;

/// Maximum time that one call waits for newer settings. Each response confirms that the settings
/// are fresh.
const MAX_WAIT: Duration = Duration::from_millis(1_900);
/// Minimum number of calls within the maximum age of fresh settings, so that one may fail.
const CALLS_PER_MAX_AGE: u32 = 2;
/// Time after which a call without a response is given up, beyond the time that it waits.
const LOSS_TIME: Duration = Duration::from_millis(1_050);

/// Keeps the settings in force up to date with the platform.
#[derive(Debug)]
pub(in crate::direct) struct RoutingFollower<D> {
    pub(in crate::direct) directory: Arc<D>,
    pub(in crate::direct) publisher: RoutingPublisher,
    pub(in crate::direct) freshness: Arc<Freshness>,
    pub(in crate::direct) meter: Arc<DirectMeter>,
    pub(in crate::direct) log: EventLog,
}

impl<D: Directory> RoutingFollower<D> {
    /// Follows the settings until the process ends.
    pub(in crate::direct) async fn run(self) {
        let mut health = PlatformHealth::new("settings", self.log.clone());
        let mut cursor = None;
        let wait = self.freshness.max_age().map_or(MAX_WAIT, |max_age| {
            MAX_WAIT.min(max_age.saturating_sub(LOSS_TIME) / CALLS_PER_MAX_AGE)
        });
        loop {
            let sent_at = BootTime::now();
            match self.directory.routing(cursor, health.next_wait(wait)).await {
                Ok(changes) => {
                    health.record_success();
                    cursor = Some(changes.cursor);
                    if self.apply(changes) {
                        self.freshness.confirm(sent_at);
                    }
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

    /// Puts the newest usable settings in force. Returns whether they are the newest ones written.
    fn apply(&self, changes: Changes<RoutingChange>) -> bool {
        let mut is_newest = true;
        for change in changes.items {
            match change {
                RoutingChange::Written(routing) => {
                    is_newest = true;
                    let revision = routing.revision;
                    if let Some(before) = self.publisher.publish(*routing) {
                        self.meter.revision(revision);
                        let event = Event::SettingsInForce { revision, before };
                        self.log.write(Level::Info, &event);
                    }
                }
                RoutingChange::Unusable(reason) => {
                    is_newest = false;
                    let in_force = self.publisher.revision();
                    let event = Event::SettingsUnusable { reason: &reason, in_force };
                    self.log.write(Level::Error, &event);
                }
            }
        }
        is_newest
    }
}
