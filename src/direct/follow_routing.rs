use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::event::Event;
use super::link::Link;
use super::watch::RoutingPublisher;
use super::{Changes, DirectMeter, Directory, DirectoryError, Freshness, RoutingChange};
use crate::event_log::{EventLog, Level};
use crate::units::BootTime;

/// Longest wait of one call for newer settings. Each answer shows that the settings are fresh.
const WAIT: Duration = Duration::from_millis(1_200);
/// Calls in the time that settings count as fresh, so that one may be lost.
const CALLS_WHILE_FRESH: u32 = 4;

/// Keeps the settings in force up to date with the platform.
#[derive(Debug)]
pub(super) struct FollowRouting<D> {
    pub(super) directory: Arc<D>,
    pub(super) publisher: RoutingPublisher,
    pub(super) freshness: Arc<Freshness>,
    pub(super) meter: Arc<DirectMeter>,
    pub(super) log: EventLog,
}

impl<D: Directory> FollowRouting<D> {
    /// Follows until the process ends.
    pub(super) async fn run(self) {
        let mut link = Link::new("settings", self.log.clone());
        let mut cursor = None;
        let wait = self.freshness.bound().map_or(WAIT, |bound| WAIT.min(bound / CALLS_WHILE_FRESH));
        loop {
            let sent = BootTime::now();
            match self.directory.routing(cursor, wait).await {
                Ok(changes) => {
                    link.up();
                    cursor = Some(changes.cursor);
                    if self.apply(changes) {
                        self.freshness.prove(sent);
                    }
                }
                Err(DirectoryError::HistoryGone) => cursor = None,
                Err(err) => sleep(link.down(&err.to_string())).await,
            }
        }
    }

    /// Puts the newest settings in force, and tells whether those in force are the newest then.
    fn apply(&self, changes: Changes<RoutingChange>) -> bool {
        let mut newest = true;
        for change in changes.items {
            match change {
                RoutingChange::Written(routing) => {
                    newest = true;
                    let revision = routing.revision;
                    if let Some(before) = self.publisher.offer(*routing) {
                        self.meter.revision(revision);
                        let event = Event::SettingsInForce { revision, before };
                        self.log.write(Level::Info, &event);
                    }
                }
                RoutingChange::Unusable(reason) => {
                    newest = false;
                    let in_force = self.publisher.revision();
                    let event = Event::SettingsUnusable { reason: &reason, in_force };
                    self.log.write(Level::Error, &event);
                }
            }
        }
        newest
    }
}
