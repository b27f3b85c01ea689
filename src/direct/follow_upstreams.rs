use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::event::Event;
use super::link::Link;
use super::{Changes, Directory, DirectoryError, ListChange, Roster, RosterChange};
use crate::event_log::{EventLog, Level};

/// Longest wait of one call for changes of the list.
const WAIT: Duration = Duration::from_millis(1_500);
/// Time after the platform's return in which upstreams that it lost are listed again.
const RELIST_TIME: Duration = Duration::from_millis(2_300);

/// Keeps the upstreams up to date with the platform's list.
#[derive(Debug)]
pub(super) struct FollowUpstreams<D> {
    directory: Arc<D>,
    roster: Arc<Roster>,
    log: EventLog,
    link: Link,
    /// Upstreams that the list lost while the platform was away, and when to believe it.
    missing: HashMap<String, Instant>,
    cursor: Option<u64>,
}

impl<D: Directory> FollowUpstreams<D> {
    pub(super) fn new(directory: Arc<D>, roster: Arc<Roster>, log: EventLog) -> Self {
        let link = Link::new("upstreams", log.clone());
        Self { directory, roster, log, link, missing: HashMap::new(), cursor: None }
    }

    /// Follows until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            let wait = self.next_wait();
            match self.directory.upstreams(self.cursor, wait).await {
                Ok(changes) => {
                    self.link.up();
                    self.apply(changes);
                }
                Err(DirectoryError::HistoryGone) => self.cursor = None,
                Err(err) => sleep(self.link.down(&err.to_string())).await,
            }
            self.drop_missing();
        }
    }

    /// Waits no longer than until the next missing upstream is believed to be gone.
    fn next_wait(&self) -> Duration {
        let now = Instant::now();
        let next = self.missing.values().map(|at| at.saturating_duration_since(now)).min();
        next.map_or(WAIT, |next| next.min(WAIT))
    }

    fn apply(&mut self, changes: Changes<ListChange>) {
        let whole = self.cursor.is_none();
        let before: HashSet<String> =
            if whole { self.roster.ids().into_iter().collect() } else { HashSet::new() };
        let mut listed = HashSet::new();
        for change in changes.items {
            match change {
                ListChange::Listed(line) => {
                    self.missing.remove(&line.id);
                    listed.insert(line.id.clone());
                    let (id, service) = (line.id.clone(), line.service.clone());
                    let change = self.roster.list(line);
                    self.tell(&id, &service, change, changes.cursor);
                }
                ListChange::Gone(id) => self.miss(id, changes.cursor),
                ListChange::Unusable(id, reason) => {
                    let change = format!("unusable: {reason}");
                    self.write(Level::Warn, &id, "", &change, changes.cursor);
                }
            }
        }
        for id in before.difference(&listed) {
            self.miss(id.clone(), changes.cursor);
        }
        self.cursor = Some(changes.cursor);
    }

    /// Takes in that an upstream is no longer listed. After an outage of the platform it may only
    /// not be listed yet.
    fn miss(&mut self, id: String, cursor: u64) {
        let left = self.link.since_return().and_then(|since| RELIST_TIME.checked_sub(since));
        if let Some(left) = left {
            self.write(Level::Info, &id, "", "missing", cursor);
            self.missing.entry(id).or_insert(Instant::now() + left);
        } else if self.roster.remove(&id) {
            self.write(Level::Info, &id, "", "gone", cursor);
        }
    }

    fn drop_missing(&mut self) {
        let now = Instant::now();
        let due: Vec<String> =
            self.missing.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.missing.remove(&id);
            self.roster.remove(&id);
            self.write(Level::Info, &id, "", "gone", self.cursor.unwrap_or_default());
        }
    }

    fn tell(&self, id: &str, service: &str, change: RosterChange, cursor: u64) {
        let change = match change {
            RosterChange::Added => "added",
            RosterChange::Replaced => "replaced",
            RosterChange::Draining => "draining",
            RosterChange::None => return,
        };
        self.write(Level::Info, id, service, change, cursor);
    }

    fn write(&self, level: Level, id: &str, service: &str, change: &str, cursor: u64) {
        self.log.write(level, &Event::Upstream { upstream: id, service, change, cursor });
    }
}
