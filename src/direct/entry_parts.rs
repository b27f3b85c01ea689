use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::dispatcher::Dispatcher;
use super::entries::EntrySharing;
use super::limits::{LimitSharing, UpstreamLimits};
use super::quarantine::{CrashRecorder, CrashSharing, TrialClaim, Trials};
use super::{
    Crashes, DirectMeter, Directory, Evacuations, Freshness, GroupDirectory, HeaderNames,
    KnownEntries, RetryLimits, Roster,
};
use crate::capacity::CapacitySwitch;
use crate::direct::attempts::HeaderWatch;
use crate::direct::feeds::{
    ChannelWatch, ColdUpdates, EvacuationUpdates, ListBounds, RoutingFollower, RoutingPublisher,
    RowFollower, UpstreamFollower,
};
use crate::direct::groups::GroupFeed;
use crate::event_log::EventLog;
use crate::memory::MemoryBudget;
use crate::net::Draining;
use crate::platform::Table;
use crate::settings::{DirectFile, RetrySettings};

/// Safety margin below the maximum age of the settings that API keys are checked against.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(100);

/// What an entry knows, shared between those who learn it from the platform and those who serve
/// requests by it.
#[derive(Debug)]
pub(super) struct EntryParts {
    pub(super) roster: Arc<Roster>,
    pub(super) freshness: Arc<Freshness>,
    pub(super) meter: Arc<DirectMeter>,
    evacuations: Arc<Evacuations>,
    crashes: Arc<Crashes>,
    limits: Arc<UpstreamLimits>,
    known_entries: Arc<KnownEntries>,
    group_directory: Arc<GroupDirectory>,
    capacity_switch: Arc<CapacitySwitch>,
    log: EventLog,
}

impl EntryParts {
    /// Creates the parts of an entry that has learned nothing yet.
    pub(super) fn new(file: &DirectFile, log: EventLog) -> Self {
        let key_age = file.key_age_ms.map(from_millis);
        let key_age = key_age.map(|age| age.saturating_sub(KEY_AGE_MARGIN));
        let first_quarantine = Duration::from_secs_f64(file.quarantine_seconds);
        Self {
            roster: Arc::default(),
            freshness: Arc::new(Freshness::new(key_age)),
            meter: Arc::new(DirectMeter::new()),
            evacuations: Arc::default(),
            crashes: Arc::new(Crashes::new(first_quarantine)),
            limits: Arc::new(UpstreamLimits::new(&file.name, file.retries.entries)),
            known_entries: Arc::new(KnownEntries::new(
                &file.name,
                file.retries.entries,
                Duration::from_secs_f64(file.retries.window_seconds),
            )),
            group_directory: Arc::default(),
            capacity_switch: Arc::new(CapacitySwitch::new(file.learned_capacity)),
            log,
        }
    }

    /// Starts the tasks that follow the platform and tell the other entries, until `stop`.
    pub(super) fn follow<D: Directory + Table>(
        &self,
        directory: &Arc<D>,
        publisher: RoutingPublisher,
        trial_claims: mpsc::Receiver<TrialClaim>,
        file: &DirectFile,
        stop: &CancellationToken,
    ) {
        let channels = Arc::new(ChannelWatch::new(from_millis(file.detection_ms)));
        let cold_updates = ColdUpdates {
            limits: Arc::clone(&self.limits),
            meter: Arc::clone(&self.meter),
            log: self.log.clone(),
        };
        let routing_follower = RoutingFollower {
            directory: Arc::clone(directory),
            channels: Arc::clone(&channels),
            publisher,
            evacuation_updates: EvacuationUpdates {
                evacuations: Arc::clone(&self.evacuations),
                meter: Arc::clone(&self.meter),
                log: self.log.clone(),
            },
            roster: Arc::clone(&self.roster),
            cold_updates: cold_updates.clone(),
            freshness: Arc::clone(&self.freshness),
            detection: from_millis(file.detection_ms),
            evacuation_time: file.evacuate_ms.map(from_millis),
            meter: Arc::clone(&self.meter),
            log: self.log.clone(),
        };
        spawn(stop, routing_follower.run());
        let upstream_follower = UpstreamFollower::new(
            Arc::clone(directory),
            Arc::clone(&channels),
            Arc::clone(&self.roster),
            cold_updates,
            file.into(),
        );
        spawn(stop, upstream_follower.run());
        self.follow_rows(directory, channels, trial_claims, stop);
    }

    /// Starts the tasks that read and write the rows by which entries share what they know.
    fn follow_rows<D: Directory + Table>(
        &self,
        directory: &Arc<D>,
        channels: Arc<ChannelWatch>,
        trial_claims: mpsc::Receiver<TrialClaim>,
        stop: &CancellationToken,
    ) {
        let crash_sharing =
            CrashSharing { crashes: Arc::clone(&self.crashes), log: self.log.clone() };
        spawn(stop, crash_sharing.clone().publish(Arc::clone(directory)));
        spawn(stop, crash_sharing.clone().grant_trials(Arc::clone(directory), trial_claims));
        let limit_sharing = Arc::new(LimitSharing {
            limits: Arc::clone(&self.limits),
            roster: Arc::clone(&self.roster),
            meter: Arc::clone(&self.meter),
            log: self.log.clone(),
        });
        spawn(stop, Arc::clone(&limit_sharing).publish(Arc::clone(directory)));
        let entry_sharing =
            Arc::new(EntrySharing::new(Arc::clone(&self.known_entries), self.log.clone()));
        spawn(stop, Arc::clone(&entry_sharing).publish(Arc::clone(directory)));
        let row_follower = RowFollower {
            entry_sharing,
            directory: Arc::clone(directory),
            channels,
            crash_sharing,
            limit_sharing,
            group_feed: GroupFeed {
                directory: Arc::clone(&self.group_directory),
                capacity_switch: Arc::clone(&self.capacity_switch),
                meter: Arc::clone(&self.meter),
                log: self.log.clone(),
            },
            log: self.log.clone(),
        };
        spawn(stop, row_follower.run());
    }

    /// Returns what sends requests by what the entry knows.
    pub(super) fn into_dispatcher(
        self,
        file: &DirectFile,
        header_names: HeaderNames,
        trials: Trials,
        draining: Draining,
        memory: MemoryBudget,
    ) -> Dispatcher {
        Dispatcher {
            header_watch: HeaderWatch::new(&header_names),
            header_names,
            domain: file.domain.clone(),
            crash_recorder: Arc::new(CrashRecorder {
                crashes: self.crashes,
                roster: Arc::clone(&self.roster),
                trials,
                log: self.log.clone(),
            }),
            roster: self.roster,
            evacuations: self.evacuations,
            group_directory: self.group_directory,
            freshness: self.freshness,
            retry_limits: retry_limits(&file.retries),
            service_states: Mutex::default(),
            memory,
            capacity_switch: self.capacity_switch,
            meter: self.meter,
            limits: self.limits,
            known_entries: self.known_entries,
            draining,
            log: self.log,
        }
    }
}

impl From<&DirectFile> for ListBounds {
    fn from(file: &DirectFile) -> Self {
        Self { drain: from_millis(file.drain_ms), detection: from_millis(file.detection_ms) }
    }
}

fn retry_limits(file: &RetrySettings) -> RetryLimits {
    RetryLimits {
        share: file.share,
        window: Duration::from_secs_f64(file.window_seconds),
        slack: file.slack,
    }
}

fn from_millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

/// Starts a task that runs until `stop`.
fn spawn(stop: &CancellationToken, task: impl Future<Output: Send> + Send + 'static) {
    tokio::spawn(stop.clone().run_until_cancelled_owned(task));
}
