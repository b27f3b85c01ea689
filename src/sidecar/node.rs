use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::error::NodeError;
use super::link_server::Links;
use super::parts::Parts;
use super::signals::{Hold, Signals};
use super::{Queue, Upstream};
use crate::id::Incarnation;
use crate::metrics::Meter;
use crate::net::{Shutdown, serve};
use crate::peer::RpcListener;
use crate::platform::{InstanceList, ObjectStore, Table};
use crate::settings::{Current, Publisher, SidecarFile};
use crate::switch::StepGate;

/// Slots before the first settings are in force. Nothing is admitted until then.
const FIRST_SLOTS: u32 = 1;
/// Time for linked entries to learn that the sidecar is leaving before it stops listening.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// A running sidecar.
#[derive(Debug)]
pub struct SidecarNode {
    data: SocketAddr,
    rpc: RpcListener,
    signals: Signals,
    queue: Arc<Queue>,
    current: Current,
    meter: Arc<Meter>,
    links: Links,
    gate: Arc<StepGate>,
    stop: Shutdown,
    tasks: TaskTracker,
    ends: CancellationToken,
    grace: Duration,
}

impl SidecarNode {
    /// Starts a sidecar as its file says.
    ///
    /// # Errors
    /// [`NodeError`] if an address can't be listened on.
    pub async fn start<P>(file: SidecarFile, platform: Arc<P>) -> Result<Self, NodeError>
    where
        P: Table + ObjectStore + InstanceList,
    {
        let publisher = Publisher::new();
        let parts = Parts {
            current: publisher.current(),
            signals: Signals::new(),
            queue: Queue::new(FIRST_SLOTS),
            meter: Arc::new(Meter::to(file.statsd)?),
            links: Links::default(),
            tasks: TaskTracker::new(),
            ends: CancellationToken::new(),
            platform,
            file,
        };
        let (hints, follower) = parts.follower(publisher);
        let part = parts.group_part();
        let rpc = RpcListener::open(parts.file.peer, parts.methods(hints, &part)).await?;
        let listener = TcpListener::bind(parts.file.listen).await?;
        let data = listener.local_addr()?;
        let stop = Shutdown::default();
        let upstream = Upstream::new(parts.file.upstream, &parts.signals, Arc::clone(&parts.meter));
        let handler = Arc::new(parts.handler(upstream.clone()));
        tokio::spawn(serve(listener, handler, stop.clone(), parts.tasks.clone()));
        parts.spawn(follower.run());
        parts.spawn(upstream.watch());
        parts.spawn(parts.cache_watch().run());
        parts.spawn(parts.loader().run());
        parts.spawn(fit_slots(
            parts.current.clone(),
            parts.file.service.clone(),
            Arc::clone(&parts.queue),
        ));
        parts.spawn(close_when_leaving(parts.signals.clone(), Arc::clone(&parts.queue)));
        let gate = Arc::clone(part.gate());
        parts.spawn(part.run());
        info!("sidecar: {} serves {} at {data}", parts.file.name, parts.file.service);
        let grace = parts.file.grace.get();
        let Parts { current, signals, queue, meter, links, tasks, ends, .. } = parts;
        Ok(Self {
            data,
            rpc,
            signals,
            queue,
            current,
            meter,
            links,
            gate,
            stop,
            tasks,
            ends,
            grace,
        })
    }

    /// Where entries send requests.
    pub const fn data_addr(&self) -> SocketAddr {
        self.data
    }

    /// Where the system's own processes connect.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.rpc.addr()
    }

    /// The present life.
    pub const fn incarnation(&self) -> Incarnation {
        self.signals.incarnation
    }

    /// The settings in force.
    pub const fn current(&self) -> &Current {
        &self.current
    }

    /// The counters.
    pub const fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// The queue before the upstream.
    pub const fn queue(&self) -> &Arc<Queue> {
        &self.queue
    }

    /// The way into each step for the rank beside this sidecar.
    pub const fn gate(&self) -> &Arc<StepGate> {
        &self.gate
    }

    /// Number of linked entries.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Takes nothing new from now on, as before shutdown.
    pub fn leave(&self) {
        self.signals.hold(Hold::Shutdown, true);
    }

    /// Stops at once, as a process that dies: connections break and nothing is told.
    pub fn kill(self) {
        self.stop.abrupt.cancel();
        self.ends.cancel();
        self.rpc.kill();
    }

    /// Shuts down gracefully: refuses new requests at once, tells the linked entries, and ends
    /// after the requests in flight.
    pub async fn close(self) {
        info!("sidecar: leaving");
        self.signals.hold(Hold::Shutdown, true);
        sleep(NOTICE_TIME).await;
        self.stop.graceful.cancel();
        self.tasks.close();
        if timeout(self.grace, self.tasks.wait()).await.is_err() {
            info!("sidecar: {} requests did not end in time", self.queue.load().running);
        }
        self.ends.cancel();
        self.rpc.close().await;
        info!("sidecar: closed");
    }
}

async fn fit_slots(mut current: Current, service: String, queue: Arc<Queue>) {
    loop {
        if let Some(service) = current.get().service(&service) {
            queue.set_slots(service.slots);
        }
        current.changed().await;
    }
}

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
