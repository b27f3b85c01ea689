use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::error::NodeError;
use super::link_server::Links;
use super::sidecar_context::SidecarContext;
use super::signals::{LeavingCause, Signals};
use super::{Queue, Upstream};
use crate::id::Incarnation;
use crate::metrics::Meter;
use crate::net::{CallerBounds, DrainTimes, Pressure, Shutdown, listen, serve};
use crate::peer::RpcListener;
use crate::platform::{InstanceList, ObjectStore, Table};
use crate::settings::{CurrentSettings, SettingsPublisher, SidecarFile};
use crate::switch::StepGate;

/// Number of slots until the first settings are in force. Nothing is admitted before that.
const INITIAL_SLOTS: u32 = 1;
/// Time between the notice that the sidecar is leaving and the close of its listener, in which the
/// linked entries receive the notice.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(300);

/// A running sidecar.
#[derive(Debug)]
pub struct SidecarNode {
    data_addr: SocketAddr,
    rpc: RpcListener,
    signals: Signals,
    queue: Arc<Queue>,
    current: CurrentSettings,
    meter: Arc<Meter>,
    links: Links,
    gate: Arc<StepGate>,
    stop: Shutdown,
    tasks: TaskTracker,
    background_stop: CancellationToken,
    grace: Duration,
}

impl SidecarNode {
    /// Starts a sidecar with the given configuration file.
    ///
    /// # Errors
    /// [`NodeError`] if an address can't be bound or the metrics socket can't be opened.
    pub async fn start<P>(file: SidecarFile, platform: Arc<P>) -> Result<Self, NodeError>
    where
        P: Table + ObjectStore + InstanceList,
    {
        let publisher = SettingsPublisher::new();
        let context = SidecarContext {
            current: publisher.current(),
            signals: Signals::new(),
            queue: Queue::new(INITIAL_SLOTS),
            meter: Arc::new(Meter::with_statsd(file.statsd)?),
            links: Links::default(),
            tasks: TaskTracker::new(),
            background_stop: CancellationToken::new(),
            platform,
            file,
        };
        let (hints, follower) = context.follower(publisher);
        let member = context.group_member();
        let rpc = RpcListener::open(
            context.file.peer,
            context.methods(hints, &member),
            &context.file.machine.half(),
        )
        .await?;
        let listener = listen(context.file.listen)?;
        let bounds = CallerBounds::of(&context.file.machine);
        context.spawn(bounds.clone().report(log_pressure));
        let data_addr = listener.local_addr()?;
        let stop = Shutdown::default();
        let upstream =
            Upstream::new(context.file.upstream, &context.signals, Arc::clone(&context.meter));
        let handler = Arc::new(context.handler(upstream.clone(), bounds.memory.clone()));
        tokio::spawn(serve(listener, handler, bounds, stop.clone(), context.tasks.clone()));
        context.spawn(follower.run());
        context.spawn(upstream.watch());
        context.spawn(context.cache_watch().run());
        context.spawn(context.loader().run());
        context.spawn(follow_slot_count(
            context.current.clone(),
            context.file.service.clone(),
            Arc::clone(&context.queue),
        ));
        context.spawn(close_when_leaving(context.signals.clone(), Arc::clone(&context.queue)));
        let gate = Arc::clone(member.gate());
        context.spawn(member.run());
        info!("sidecar: {} serves {} at {data_addr}", context.file.name, context.file.service);
        let grace = context.file.grace.get();
        let SidecarContext {
            current, signals, queue, meter, links, tasks, background_stop, ..
        } = context;
        Ok(Self {
            data_addr,
            rpc,
            signals,
            queue,
            current,
            meter,
            links,
            gate,
            stop,
            tasks,
            background_stop,
            grace,
        })
    }

    /// Returns the address to which entries send requests.
    pub const fn data_addr(&self) -> SocketAddr {
        self.data_addr
    }

    /// Returns the RPC address for the system's own processes.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.rpc.addr()
    }

    /// Returns the incarnation of this sidecar.
    pub const fn incarnation(&self) -> Incarnation {
        self.signals.incarnation
    }

    /// Returns the settings in force.
    pub const fn current(&self) -> &CurrentSettings {
        &self.current
    }

    /// Returns the counters.
    pub const fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// Returns the queue in front of the upstream.
    pub const fn queue(&self) -> &Arc<Queue> {
        &self.queue
    }

    /// Returns the gate that lets the rank beside this sidecar into each step.
    pub const fn gate(&self) -> &Arc<StepGate> {
        &self.gate
    }

    /// Returns the number of linked entries.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Refuses new requests from now on, as the first stage of a shutdown.
    pub fn leave(&self) {
        self.signals.set_leaving(LeavingCause::Shutdown, true);
    }

    /// Stops at once like a crashed process: connections break and no entry is notified.
    pub fn kill(self) {
        self.stop.abrupt.cancel();
        self.background_stop.cancel();
        self.rpc.kill();
    }

    /// Shuts down gracefully: refuses new requests at once, notifies the linked entries, and stops
    /// when the requests in flight have ended or the grace period is over.
    pub async fn close(self) {
        info!("sidecar: leaving");
        self.signals.set_leaving(LeavingCause::Shutdown, true);
        let begun_at = Instant::now();
        let ends_at = begun_at + LEAVE_NOTICE_TIME + self.grace;
        let times = DrainTimes { begun_at, accepts_until: begun_at, ends_at };
        self.signals.draining.begin(times);
        sleep(LEAVE_NOTICE_TIME).await;
        self.stop.graceful.cancel();
        self.tasks.close();
        if timeout_at(ends_at, self.tasks.wait()).await.is_err() {
            info!("sidecar: {} requests did not end in time", self.queue.load().running);
        }
        self.background_stop.cancel();
        self.rpc.close().await;
        info!("sidecar: closed");
    }
}

fn log_pressure(pressure: &Pressure) {
    warn!("sidecar: callers take more than they may: {pressure:?}");
}

/// Applies the service's number of slots to the queue on every change of the settings.
async fn follow_slot_count(mut current: CurrentSettings, service: String, queue: Arc<Queue>) {
    loop {
        if let Some(service) = current.get().service(&service) {
            queue.set_slots(service.slots);
        }
        current.changed().await;
    }
}

/// Closes the queue while the sidecar is leaving, and reopens it afterwards.
async fn close_when_leaving(signals: Signals, queue: Arc<Queue>) {
    let mut leaving = signals.leaving();
    loop {
        if *leaving.borrow_and_update() {
            queue.close();
        } else {
            queue.reopen();
        }
        if leaving.changed().await.is_err() {
            return;
        }
    }
}
