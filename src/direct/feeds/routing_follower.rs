use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::direct::event::Event;
use crate::direct::feeds::channel_watch::SHORTEST_WAIT;
use crate::direct::feeds::evacuation_updates::Reading;
use crate::direct::feeds::{
    ChannelWatch, ColdUpdates, EvacuationUpdates, PlatformHealth, RoutingPublisher,
};
use crate::direct::{
    Changes, Cursor, DirectMeter, Directory, DirectoryError, Freshness, Roster, RoutingChange,
};
use crate::event_log::{EventLog, Level};
use crate::units::{BootTime, millis};

/// Minimum number of calls within the maximum age of fresh settings, so that one may fail.
const CALLS_PER_MAX_AGE: u32 = 2;
/// Time after which a call without a response is given up and the next one sent, beyond the time
/// that it waits.
const LOSS_TIME: Duration = Duration::from_millis(1_050);

/// Keeps the settings in force and the evacuated failure domains up to date with the platform.
#[derive(Debug)]
pub(in crate::direct) struct RoutingFollower<D> {
    pub(in crate::direct) directory: Arc<D>,
    pub(in crate::direct) channels: Arc<ChannelWatch>,
    pub(in crate::direct) publisher: RoutingPublisher,
    pub(in crate::direct) evacuation_updates: EvacuationUpdates,
    pub(in crate::direct) roster: Arc<Roster>,
    pub(in crate::direct) cold_updates: ColdUpdates,
    pub(in crate::direct) freshness: Arc<Freshness>,
    /// Time in which an evacuation must take effect, if it is limited.
    pub(in crate::direct) evacuation_time: Option<Duration>,
    /// Time in which an entry must know all that is new after an outage.
    pub(in crate::direct) detection: Duration,
    pub(in crate::direct) meter: Arc<DirectMeter>,
    pub(in crate::direct) log: EventLog,
}

impl<D: Directory> RoutingFollower<D> {
    /// Follows the settings until the process ends.
    pub(in crate::direct) async fn run(self) {
        let mut health = PlatformHealth::new("settings", self.log.clone());
        let mut cursor = None;
        let mut version = 0;
        let max_wait = self.max_wait();
        loop {
            let (sent_at, sent) = (BootTime::now(), Instant::now());
            let wait = self.evacuation_updates.next_wait(max_wait, sent);
            let wait = health.begin_call(wait);
            match self.channels.call(wait, self.directory.routing(cursor, wait)).await {
                Ok(changes) => {
                    let Cursor { era, version: read } = changes.cursor;
                    if read < version {
                        // A store that states no era has come back from an older copy.
                        health.record_rewind(era);
                    }
                    health.record_success();
                    let grace = health.relist_grace(self.detection);
                    let grace = grace.map(|grace| grace + sent.elapsed());
                    let reading = Reading { sent, is_whole: cursor.is_none(), grace };
                    // Requests that arrive with the new settings must know of evacuations.
                    self.evacuation_updates.apply(&changes, &reading);
                    version = read;
                    cursor = Some(changes.cursor);
                    if self.apply(changes, sent_at) {
                        self.freshness.confirm(sent_at);
                    }
                }
                Err(DirectoryError::HistoryGone) => cursor = None,
                Err(DirectoryError::Rewound(era)) => {
                    health.record_rewind(era);
                    (cursor, version) = (None, 0);
                }
                Err(err) => sleep(health.record_failure(&err.to_string())).await,
            }
        }
    }

    /// Returns the maximum time that one call waits for changes. Each response confirms that the
    /// settings are fresh.
    fn max_wait(&self) -> Duration {
        let max_age = self.freshness.max_age();
        let for_age = max_age.map(|age| age.saturating_sub(LOSS_TIME) / CALLS_PER_MAX_AGE);
        // One call may be lost, and the next one slow.
        let for_evacuations = self.evacuation_time.map(|time| time.saturating_sub(LOSS_TIME * 2));
        [for_age, for_evacuations].into_iter().flatten().fold(SHORTEST_WAIT, Duration::min)
    }

    /// Puts the newest usable settings in force. Returns whether they are the newest ones written.
    fn apply(&self, changes: Changes<RoutingChange>, sent: BootTime) -> bool {
        let now = BootTime::now();
        let age_ms = millis(now.since(sent));
        let proof_age_ms = self.freshness.age(now).map(millis);
        let mut is_newest = true;
        for change in changes.items {
            match change {
                RoutingChange::Written(routing) => {
                    is_newest = true;
                    let revision = routing.revision;
                    if revision > self.publisher.revision() {
                        self.cold_updates.set_starts(&routing);
                        let names = routing.services().map(|service| service.name.clone());
                        self.roster.set_services(names.collect());
                    }
                    if let Some(before) = self.publisher.publish(*routing) {
                        self.meter.revision(revision);
                        let event =
                            Event::SettingsInForce { revision, before, age_ms, proof_age_ms };
                        self.log.write(Level::Info, &event);
                    }
                }
                RoutingChange::Unusable(reason) => {
                    is_newest = false;
                    let in_force = self.publisher.revision();
                    let event = Event::SettingsUnusable { reason: &reason, in_force };
                    self.log.write(Level::Error, &event);
                }
                RoutingChange::Evacuated(_) | RoutingChange::Restored(_) => {}
            }
        }
        is_newest
    }
}
