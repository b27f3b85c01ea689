use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::direct::event::Event;
use crate::direct::feeds::{ChannelWatch, ColdUpdates, PlatformHealth};
use crate::direct::{Changes, Cursor, Directory, DirectoryError, ListChange, Roster, RosterChange};
use crate::event_log::{EventLog, Level};

/// Share of the time in which entries must learn of a draining upstream, also by a connection that
/// has gone silent, for which one call waits for changes of the list. The silence is noticed only
/// after that.
const WAIT_SHARE: f64 = 0.6;
/// Maximum time for which a call waits.
const MAX_WAIT: Duration = Duration::from_millis(6_000);
/// Share of the time in which entries must learn of a draining upstream for which changes are
/// gathered. The rest allows for a call that is lost and one that is slow.
const GATHER_SHARE: f64 = 0.25;
/// Maximum time for which changes are gathered, since new upstreams are wanted soon as well.
const MAX_GATHER_TIME: Duration = Duration::from_millis(1_000);

/// How late an entry may know of changes of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::direct) struct ListBounds {
    /// Time in which it must learn that an upstream is draining.
    pub(in crate::direct) drain: Duration,
    /// Time, beside that, in which it must notice that its connection to the platform has gone
    /// silent.
    pub(in crate::direct) detection: Duration,
}

/// Keeps the upstreams up to date with the platform's list.
#[derive(Debug)]
pub(in crate::direct) struct UpstreamFollower<D> {
    directory: Arc<D>,
    channels: Arc<ChannelWatch>,
    roster: Arc<Roster>,
    cold_updates: ColdUpdates,
    log: EventLog,
    health: PlatformHealth,
    /// Upstreams that disappeared from the list in an outage of the platform, and when to remove
    /// them.
    missing: HashMap<String, Instant>,
    cursor: Option<Cursor>,
    /// Time in which the entry must know all that is new after an outage.
    detection: Duration,
    /// Minimum time between two calls that return changes.
    interval: Duration,
    /// Maximum time for which a call waits for changes.
    max_wait: Duration,
}

impl<D: Directory> UpstreamFollower<D> {
    /// Creates a follower that keeps to these bounds.
    pub(in crate::direct) fn new(
        directory: Arc<D>,
        channels: Arc<ChannelWatch>,
        roster: Arc<Roster>,
        cold_updates: ColdUpdates,
        bounds: ListBounds,
    ) -> Self {
        let log = cold_updates.log.clone();
        let health = PlatformHealth::new("upstreams", log.clone());
        let interval = bounds.drain.mul_f64(GATHER_SHARE).min(MAX_GATHER_TIME);
        let max_wait = (bounds.drain + bounds.detection).mul_f64(WAIT_SHARE).min(MAX_WAIT);
        let (missing, detection) = (HashMap::new(), bounds.detection);
        let cursor = None;
        Self {
            directory,
            channels,
            roster,
            cold_updates,
            log,
            health,
            missing,
            cursor,
            detection,
            interval,
            max_wait,
        }
    }

    /// Follows the list until the process ends.
    pub(in crate::direct) async fn run(mut self) {
        loop {
            let wait = self.next_wait();
            let wait = self.health.begin_call(wait);
            let call = self.directory.upstreams(self.cursor, wait);
            match self.channels.call(wait, call).await {
                Ok(changes) => {
                    self.health.record_success();
                    let has_changes = !changes.items.is_empty();
                    self.apply(changes);
                    if has_changes {
                        // With many upstreams some row has always changed.
                        sleep(self.interval.min(self.next_wait())).await;
                    }
                }
                Err(DirectoryError::HistoryGone) => self.cursor = None,
                Err(DirectoryError::Rewound(era)) => {
                    self.health.record_rewind(era);
                    self.cursor = None;
                }
                Err(err) => sleep(self.health.record_failure(&err.to_string())).await,
            }
            self.remove_expired();
            self.cold_updates.count();
        }
    }

    /// Returns the time limit of the next call, which ends no later than when the next missing
    /// upstream is due for removal.
    fn next_wait(&self) -> Duration {
        let now = Instant::now();
        let next = self.missing.values().map(|at| at.saturating_duration_since(now)).min();
        next.map_or(self.max_wait, |next| next.min(self.max_wait))
    }

    fn apply(&mut self, changes: Changes<ListChange>) {
        let is_full_list = self.cursor.is_none();
        let version = changes.cursor.version;
        let previous: HashSet<String> =
            if is_full_list { self.roster.listed_ids() } else { HashSet::new() };
        let mut listed = HashSet::new();
        for change in changes.items {
            match change {
                ListChange::Listed(upstream) => {
                    self.missing.remove(&upstream.id);
                    listed.insert(upstream.id.clone());
                    let (id, service) = (upstream.id.clone(), upstream.service.clone());
                    // Requests must not reach a cold upstream before it is known as one.
                    self.cold_updates.list(&upstream);
                    let change = self.roster.apply(upstream);
                    self.log_change(&id, &service, change, version);
                }
                ListChange::Gone(id) => self.remove_or_defer(id, version),
                ListChange::Unusable(id, reason) => {
                    // What is known of an upstream holds, though its entry was overwritten.
                    listed.insert(id.clone());
                    let change = format!("unusable: {reason}");
                    self.write(Level::Warn, &id, "", &change, version);
                }
            }
        }
        for id in previous.difference(&listed) {
            self.remove_or_defer(id.clone(), version);
        }
        self.cursor = Some(changes.cursor);
    }

    /// Removes an upstream that is no longer listed. Soon after an outage of the platform the
    /// removal is deferred, since the upstream may not have been listed again yet.
    fn remove_or_defer(&mut self, id: String, version: u64) {
        if let Some(left) = self.health.relist_grace(self.detection) {
            self.write(Level::Info, &id, "", "missing", version);
            self.missing.entry(id).or_insert(Instant::now() + left);
        } else if self.roster.remove(&id) {
            self.write(Level::Info, &id, "", "gone", version);
        }
    }

    fn remove_expired(&mut self) {
        let now = Instant::now();
        let version = self.cursor.map_or(0, |cursor| cursor.version);
        let due: Vec<String> =
            self.missing.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.missing.remove(&id);
            self.roster.remove(&id);
            self.write(Level::Info, &id, "", "gone", version);
        }
    }

    fn log_change(&self, id: &str, service: &str, change: RosterChange, version: u64) {
        let change = match change {
            RosterChange::Added => "added",
            RosterChange::Replaced => "replaced",
            RosterChange::Draining => "draining",
            RosterChange::None => return,
        };
        self.write(Level::Info, id, service, change, version);
    }

    fn write(&self, level: Level, id: &str, service: &str, change: &str, version: u64) {
        self.log.write(level, &Event::Upstream { upstream: id, service, change, cursor: version });
    }
}
