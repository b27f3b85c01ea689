use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::entry_parts::EntryParts;
use super::event::Event;
use super::handler::DirectHandler;
use super::head_limits::{HeadLimits, MONITORING_LIMITS};
use super::monitoring::{MetricsHandler, ReadinessHandler};
use super::quarantine::Trials;
use super::{DirectMeter, Directory, HeaderNames};
use crate::cli::Node;
use crate::direct::feeds::RoutingPublisher;
use crate::event_log::{EventLog, Level};
use crate::memory::MemoryBudget;
use crate::net::{
    CallerBounds, ConnectionLimit, DrainTimes, Draining, Handler, Shutdown, listen, serve_h1,
};
use crate::platform::Table;
use crate::settings::{DirectFile, ParseError};
use crate::units::millis;

/// Time in which the balancer before the entries notices that the process is no longer ready: it
/// asks every second, and twice before it acts. It is less than 3 s, since a request accepted later
/// than that after the signal must still end within the grace time.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_700);
/// Part of the grace time that is reserved for the end of the shutdown.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);
/// Maximum number of waiting claims of trials.
const TRIAL_QUEUE: usize = 16;
/// Maximum number of connections to the readiness check, and to the metrics.
const MONITORING_CONNECTIONS: usize = 32;
/// What may be held for those who ask for readiness or metrics.
const MONITORING_BYTES: usize = 1 << 20;

/// An entry that sends requests directly to upstreams.
#[derive(Debug)]
pub struct DirectNode {
    file: DirectFile,
    addr: SocketAddr,
    readiness: SocketAddr,
    metrics: Option<SocketAddr>,
    draining: Draining,
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
        let listener = listen(file.listen)?;
        let readiness = listen(file.readiness)?;
        let metrics = match file.metrics {
            Some(addr) => Some(listen(addr)?),
            None => None,
        };
        let mut node = Self {
            file: file.clone(),
            addr: listener.local_addr()?,
            readiness: readiness.local_addr()?,
            metrics: metrics.as_ref().map(TcpListener::local_addr).transpose()?,
            draining: Draining::default(),
            caller_shutdown: Shutdown::default(),
            monitoring_shutdown: Shutdown::default(),
            tasks: TaskTracker::new(),
            background_stop: CancellationToken::new(),
            grace: Duration::from_secs_f64(file.grace_seconds),
            log,
        };
        node.spawn_tasks(
            file,
            header_names,
            &directory,
            Listeners { listener, readiness, metrics },
        );
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
        directory: &Arc<D>,
        listeners: Listeners,
    ) {
        let parts = EntryParts::new(file, self.log.clone());
        let (publisher, routing) = RoutingPublisher::new();
        let (trials, trial_claims) = mpsc::channel(TRIAL_QUEUE);
        let stop = &self.background_stop;
        parts.follow(directory, publisher, trial_claims, file, stop);
        let ready = ReadinessHandler {
            routing: routing.clone(),
            roster: Arc::clone(&parts.roster),
            freshness: Arc::clone(&parts.freshness),
            draining: self.draining.clone(),
            ready: AtomicBool::new(false),
            log: self.log.clone(),
        };
        let meter = Arc::clone(&parts.meter);
        let draining = self.draining.clone();
        let bounds = CallerBounds::of(&file.machine);
        let log = self.log.clone();
        let report = bounds.clone().report(move |pressure| {
            log.write(Level::Warn, &Event::CallersBounded(pressure));
        });
        tokio::spawn(stop.clone().run_until_cancelled_owned(report));
        let memory = bounds.memory.clone();
        let dispatcher =
            parts.into_dispatcher(file, header_names, Trials(trials), draining, memory);
        let handler = DirectHandler {
            routing,
            dispatcher: Arc::new(dispatcher),
            meter: Arc::clone(&meter),
            tasks: self.tasks.clone(),
        };
        self.serve(listeners, handler, bounds, ready, meter);
    }

    /// Serves callers, the readiness check and, if they are exported, the metrics.
    fn serve(
        &self,
        listeners: Listeners,
        handler: DirectHandler,
        bounds: CallerBounds,
        ready: ReadinessHandler,
        meter: Arc<DirectMeter>,
    ) {
        let Listeners { listener, readiness, metrics } = listeners;
        let limits = HeadLimits(handler.routing.clone());
        tokio::spawn(serve_h1(
            listener,
            Arc::new(handler),
            limits,
            bounds.clone(),
            self.caller_shutdown.clone(),
            self.tasks.clone(),
        ));
        self.serve_monitoring(readiness, ready);
        if let Some(listener) = metrics {
            self.serve_monitoring(listener, MetricsHandler { meter, bounds });
        }
    }

    fn serve_monitoring<H: Handler>(&self, listener: TcpListener, handler: H) {
        let bounds = CallerBounds {
            memory: MemoryBudget::new(MONITORING_BYTES),
            connections: ConnectionLimit::new(MONITORING_CONNECTIONS),
        };
        let shutdown = self.monitoring_shutdown.clone();
        let (handler, tasks) = (Arc::new(handler), TaskTracker::new());
        tokio::spawn(serve_h1(listener, handler, MONITORING_LIMITS, bounds, shutdown, tasks));
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
    /// then waits for the requests in flight. Meanwhile it begins none that can't end in time.
    async fn close(self) {
        self.log.write(Level::Info, &Event::Stopping { grace_ms: millis(self.grace) });
        let begun_at = Instant::now();
        let accepts_until = begun_at + READINESS_NOTICE_TIME.min(self.grace / 2);
        let ends_at = begun_at + self.grace.saturating_sub(SHUTDOWN_RESERVE);
        self.draining.begin(DrainTimes { begun_at, accepts_until, ends_at });
        sleep_until(accepts_until).await;
        self.caller_shutdown.graceful.cancel();
        self.tasks.close();
        let ended = timeout_at(ends_at, self.tasks.wait()).await;
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
