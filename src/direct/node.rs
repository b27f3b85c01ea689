use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::dispatcher::Dispatcher;
use super::event::Event;
use super::handler::DirectHandler;
use super::limits::{LimitSharing, UpstreamLimits};
use super::monitoring::{MetricsHandler, ReadinessHandler};
use super::quarantine::CrashRecorder;
use super::quarantine::CrashSharing;
use super::quarantine::Trials;
use super::{
    BodyMemory, Crashes, DirectMeter, Directory, Evacuations, Freshness, GroupDirectory,
    HeaderNames, RetryLimits, Roster,
};
use crate::capacity::CapacitySwitch;
use crate::cli::Node;
use crate::direct::attempts::HeaderWatch;
use crate::direct::feeds::{
    ColdUpdates, EvacuationUpdates, ListBounds, RoutingFollower, RoutingPublisher, RowFollower,
    UpstreamFollower,
};
use crate::direct::groups::GroupFeed;
use crate::event_log::{EventLog, Level};
use crate::net::{H1Limits, Shutdown, serve_h1};
use crate::platform::Table;
use crate::settings::{DirectFile, ParseError, RetrySettings};
use crate::units::millis;

/// Time in which the balancer before the entries notices that the process is no longer ready: it
/// asks every second, and twice before it acts. It is less than 3 s, since a request accepted later
/// than that after the signal must still end within the grace time.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_700);
/// Part of the grace time that is reserved for the end of the shutdown.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);
/// Maximum time that a connection may be idle or take to send the head of a request. The limits in
/// the settings are not applied: a shorter one may come into force at any time, and a connection
/// that closes while a request arrives loses the request.
const IDLE_TIME: Duration = Duration::from_secs(90);
/// Safety margin below the maximum age of the settings that API keys are checked against.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(100);
/// Maximum number of waiting claims of trials.
const TRIAL_QUEUE: usize = 16;
/// Maximum size of a request head. The limit in the settings is not applied.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Limits of connections to the entry.
const HTTP_LIMITS: H1Limits = H1Limits { idle_time: IDLE_TIME, head_bytes: MAX_HEAD_BYTES };

/// An entry that sends requests directly to upstreams.
#[derive(Debug)]
pub struct DirectNode {
    file: DirectFile,
    addr: SocketAddr,
    readiness: SocketAddr,
    metrics: Option<SocketAddr>,
    leaving: Arc<AtomicBool>,
    caller_shutdown: Shutdown,
    monitoring_shutdown: Shutdown,
    tasks: TaskTracker,
    background_stop: CancellationToken,
    grace: Duration,
    log: EventLog,
}

impl DirectNode {
    /// Starts listening and following the directory. The entry is ready once it has fresh settings
    /// and knows an upstream.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub async fn start<D: Directory + Table>(
        file: &DirectFile,
        header_names: HeaderNames,
        directory: Arc<D>,
        log: EventLog,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(file.listen).await?;
        let readiness = TcpListener::bind(file.readiness).await?;
        let metrics = match file.metrics {
            Some(addr) => Some(TcpListener::bind(addr).await?),
            None => None,
        };
        let mut node = Self {
            file: file.clone(),
            addr: listener.local_addr()?,
            readiness: readiness.local_addr()?,
            metrics: metrics.as_ref().map(TcpListener::local_addr).transpose()?,
            leaving: Arc::default(),
            caller_shutdown: Shutdown::default(),
            monitoring_shutdown: Shutdown::default(),
            tasks: TaskTracker::new(),
            background_stop: CancellationToken::new(),
            grace: Duration::from_secs_f64(file.grace_seconds),
            log,
        };
        node.spawn_tasks(file, header_names, directory, Listeners { listener, readiness, metrics });
        let listen = node.addr.to_string();
        let version = env!("CARGO_PKG_VERSION");
        let event = Event::Started { version, listen, domain: &file.domain };
        node.log.write(Level::Info, &event);
        Ok(node)
    }

    fn spawn_tasks<D: Directory + Table>(
        &mut self,
        file: &DirectFile,
        header_names: HeaderNames,
        directory: Arc<D>,
        listeners: Listeners,
    ) {
        let key_age = file.key_age_ms.map(|ms| Duration::from_secs_f64(ms / 1e3));
        let key_age = key_age.map(|age| age.saturating_sub(KEY_AGE_MARGIN));
        let freshness = Arc::new(Freshness::new(key_age));
        let roster = Arc::new(Roster::default());
        let evacuations = Arc::new(Evacuations::default());
        let meter = Arc::new(DirectMeter::new());
        let (publisher, routing) = RoutingPublisher::new();
        let first_quarantine = Duration::from_secs_f64(file.quarantine_seconds);
        let crashes = Arc::new(Crashes::new(first_quarantine));
        let limits = Arc::new(UpstreamLimits::new(&file.name, file.retries.entries));
        let group_directory = Arc::new(GroupDirectory::default());
        let capacity_switch = Arc::new(CapacitySwitch::new(file.learned_capacity));
        let (trials, trial_claims) = mpsc::channel(TRIAL_QUEUE);
        let dispatcher = Arc::new(Dispatcher {
            header_watch: HeaderWatch::new(&header_names),
            header_names,
            domain: file.domain.clone(),
            roster: Arc::clone(&roster),
            evacuations: Arc::clone(&evacuations),
            group_directory: Arc::clone(&group_directory),
            freshness: Arc::clone(&freshness),
            retry_limits: retry_limits(&file.retries),
            service_states: std::sync::Mutex::default(),
            crash_recorder: Arc::new(CrashRecorder {
                crashes: Arc::clone(&crashes),
                roster: Arc::clone(&roster),
                trials: Trials(trials),
                log: self.log.clone(),
            }),
            body_memory: BodyMemory::default(),
            capacity_switch: Arc::clone(&capacity_switch),
            meter: Arc::clone(&meter),
            limits: Arc::clone(&limits),
            log: self.log.clone(),
        });
        let crash_sharing = CrashSharing { crashes, log: self.log.clone() };
        let publish_crashes = crash_sharing.clone().publish(Arc::clone(&directory));
        let grant_trials = crash_sharing.clone().grant_trials(Arc::clone(&directory), trial_claims);
        let cold_updates = ColdUpdates {
            limits: Arc::clone(&limits),
            meter: Arc::clone(&meter),
            log: self.log.clone(),
        };
        let limit_sharing = Arc::new(LimitSharing {
            limits,
            roster: Arc::clone(&roster),
            meter: Arc::clone(&meter),
            log: self.log.clone(),
        });
        let publish_limits = Arc::clone(&limit_sharing).publish(Arc::clone(&directory));
        let row_follower = RowFollower {
            directory: Arc::clone(&directory),
            crash_sharing,
            limit_sharing,
            group_feed: GroupFeed {
                directory: group_directory,
                capacity_switch,
                meter: Arc::clone(&meter),
                log: self.log.clone(),
            },
            log: self.log.clone(),
        };
        let evacuation_updates =
            EvacuationUpdates { evacuations, meter: Arc::clone(&meter), log: self.log.clone() };
        let routing_follower = RoutingFollower {
            directory: Arc::clone(&directory),
            publisher,
            evacuation_updates,
            cold_updates: cold_updates.clone(),
            freshness: Arc::clone(&freshness),
            evacuation_time: file.evacuate_ms.map(|ms| Duration::from_secs_f64(ms / 1e3)),
            meter: Arc::clone(&meter),
            log: self.log.clone(),
        };
        let upstream_follower =
            UpstreamFollower::new(directory, Arc::clone(&roster), cold_updates, file.into());
        let stop = &self.background_stop;
        tokio::spawn(stop.clone().run_until_cancelled_owned(routing_follower.run()));
        tokio::spawn(stop.clone().run_until_cancelled_owned(upstream_follower.run()));
        tokio::spawn(stop.clone().run_until_cancelled_owned(row_follower.run()));
        tokio::spawn(stop.clone().run_until_cancelled_owned(publish_limits));
        tokio::spawn(stop.clone().run_until_cancelled_owned(publish_crashes));
        tokio::spawn(stop.clone().run_until_cancelled_owned(grant_trials));
        let ready = ReadinessHandler {
            routing: routing.clone(),
            roster,
            freshness,
            leaving: Arc::clone(&self.leaving),
            ready: AtomicBool::new(false),
            log: self.log.clone(),
        };
        let handler = DirectHandler {
            routing,
            dispatcher,
            meter: Arc::clone(&meter),
            tasks: self.tasks.clone(),
            leaving: Arc::clone(&self.leaving),
        };
        self.serve(listeners, handler, ready, meter);
    }

    /// Serves callers, the readiness check and, if they are exported, the metrics.
    fn serve(
        &self,
        listeners: Listeners,
        handler: DirectHandler,
        ready: ReadinessHandler,
        meter: Arc<DirectMeter>,
    ) {
        let Listeners { listener, readiness, metrics } = listeners;
        tokio::spawn(serve_h1(
            listener,
            Arc::new(handler),
            HTTP_LIMITS,
            self.caller_shutdown.clone(),
            self.tasks.clone(),
        ));
        let shutdown = &self.monitoring_shutdown;
        let tasks = TaskTracker::new();
        let ready = Arc::new(ready);
        tokio::spawn(serve_h1(readiness, ready, HTTP_LIMITS, shutdown.clone(), tasks.clone()));
        if let Some(listener) = metrics {
            let handler = Arc::new(MetricsHandler { meter });
            tokio::spawn(serve_h1(listener, handler, HTTP_LIMITS, shutdown.clone(), tasks));
        }
    }

    /// Address for callers.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address of the readiness check.
    pub const fn readiness_addr(&self) -> SocketAddr {
        self.readiness
    }

    /// Address of the metrics, if they are exported.
    pub const fn metrics_addr(&self) -> Option<SocketAddr> {
        self.metrics
    }

    /// Stops at once, like a killed process: connections break and nothing is logged.
    pub fn kill(self) {
        self.caller_shutdown.abrupt.cancel();
        self.monitoring_shutdown.abrupt.cancel();
        self.background_stop.cancel();
    }
}

impl Node for DirectNode {
    type File = DirectFile;

    /// Logs that the process's own settings file was read again. The previous settings stay in
    /// force until the next start, but an invalid file is reported at once.
    fn reload(&self, read: &Result<DirectFile, ParseError>) {
        let detail = match read {
            Ok(file) if *file == self.file => "unchanged".to_owned(),
            Ok(_) => "changed, in force from the next start".to_owned(),
            Err(err) => err.to_string(),
        };
        let event = Event::Reloaded { ok: read.is_ok(), detail: &detail };
        self.log.write(Level::Info, &event);
    }

    /// Shuts down gracefully: reports that it is not ready, serves until the balancer has noticed,
    /// then waits for the requests in flight.
    async fn close(self) {
        self.log.write(Level::Info, &Event::Stopping { grace_ms: millis(self.grace) });
        self.leaving.store(true, Ordering::Relaxed);
        let notice = READINESS_NOTICE_TIME.min(self.grace / 2);
        sleep(notice).await;
        self.caller_shutdown.graceful.cancel();
        self.tasks.close();
        let left = self.grace.saturating_sub(notice + SHUTDOWN_RESERVE);
        let ended = timeout(left, self.tasks.wait()).await;
        let unfinished = if ended.is_ok() { 0 } else { self.tasks.len() };
        self.caller_shutdown.abrupt.cancel();
        self.monitoring_shutdown.abrupt.cancel();
        self.background_stop.cancel();
        self.log.write(Level::Info, &Event::Stopped { unfinished });
        self.log.close();
    }
}

/// The listeners of an entry.
struct Listeners {
    listener: TcpListener,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
}

impl From<&DirectFile> for ListBounds {
    fn from(file: &DirectFile) -> Self {
        Self {
            drain: Duration::from_secs_f64(file.drain_ms / 1e3),
            detection: Duration::from_secs_f64(file.detection_ms / 1e3),
        }
    }
}

/// Returns the limits of retries. Until an entry knows its share of the load, it takes an even part
/// of the slack of the maximum number of entries.
fn retry_limits(file: &RetrySettings) -> RetryLimits {
    RetryLimits {
        share: file.share,
        window: Duration::from_secs_f64(file.window_seconds),
        slack: file.slack,
        slack_share: 1.0 / file.entries.max(1.0),
    }
}
