use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use spdlog::info;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::claim::Claims;
use super::error::NodeError;
use super::link_server::{LinkServer, Links};
use super::signals::Signals;
use super::{Queue, SidecarHandler, Upstream};
use crate::id::Incarnation;
use crate::metrics::Meter;
use crate::net::{Shutdown, serve};
use crate::peer::{Follower, LinkRpcServer, RpcListener, SettingsRpcServer, SettingsServer};
use crate::platform::Table;
use crate::settings::{Current, Publisher, SidecarFile};

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
    pub async fn start<P: Table>(file: SidecarFile, platform: Arc<P>) -> Result<Self, NodeError> {
        let meter = Arc::new(Meter::to(file.statsd)?);
        let signals = Signals::new();
        let queue = Queue::new(FIRST_SLOTS);
        let publisher = Publisher::new();
        let tasks = TaskTracker::new();
        let (stop, ends) = (Shutdown::default(), CancellationToken::new());
        let links = Links::default();
        let (hints, follower) = Follower::new(
            Arc::clone(&platform),
            publisher.clone(),
            file.seeds.clone(),
            file.link_key.clone(),
            file.poll.get(),
            Arc::clone(&meter),
        );
        let door = SettingsServer::new(publisher.current(), file.link_key.clone());
        let link_server = LinkServer {
            service: file.service.clone(),
            door: door.clone(),
            signals: signals.clone(),
            queue: Arc::clone(&queue),
            current: publisher.current(),
            hints,
            report: file.report.get(),
            meter: Arc::clone(&meter),
            links: links.clone(),
        };
        let mut methods = RpcModule::new(());
        methods
            .merge(SettingsRpcServer::into_rpc(door))
            .expect("methods have distinct names");
        methods
            .merge(LinkRpcServer::into_rpc(link_server))
            .expect("methods have distinct names");
        let listener = TcpListener::bind(file.listen).await?;
        let data = listener.local_addr()?;
        let rpc = RpcListener::open(file.peer, methods).await?;
        let upstream = Upstream::new(file.upstream, &signals, Arc::clone(&meter));
        let claims = Claims::new(
            platform,
            signals.incarnation,
            Arc::clone(&meter),
            tasks.clone(),
        );
        let handler = SidecarHandler {
            service: file.service.clone(),
            key: file.link_key,
            current: publisher.current(),
            queue: Arc::clone(&queue),
            claims: Arc::new(claims),
            upstream: upstream.clone(),
            signals: signals.clone(),
            meter: Arc::clone(&meter),
            tasks: tasks.clone(),
            suspects: Arc::new(Semaphore::new(1)),
        };
        tokio::spawn(run_until(ends.clone(), follower.run()));
        tokio::spawn(run_until(ends.clone(), upstream.watch()));
        let fitting = fit_slots(
            publisher.current(),
            file.service.clone(),
            Arc::clone(&queue),
        );
        tokio::spawn(run_until(ends.clone(), fitting));
        let closing = close_when_leaving(signals.clone(), Arc::clone(&queue));
        tokio::spawn(run_until(ends.clone(), closing));
        tokio::spawn(serve(
            listener,
            Arc::new(handler),
            stop.clone(),
            tasks.clone(),
        ));
        info!("sidecar: {} serves {} at {data}", file.name, file.service);
        Ok(Self {
            data,
            rpc,
            signals,
            queue,
            current: publisher.current(),
            meter,
            links,
            stop,
            tasks,
            ends,
            grace: file.grace.get(),
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

    /// Number of linked entries.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Takes nothing new from now on, as before shutdown.
    pub fn leave(&self) {
        self.signals.stop();
    }

    /// Shuts down gracefully: refuses new requests at once, tells the linked entries, and ends
    /// after the requests in flight.
    pub async fn close(self) {
        info!("sidecar: leaving");
        self.signals.stop();
        sleep(NOTICE_TIME).await;
        self.stop.graceful.cancel();
        self.tasks.close();
        if timeout(self.grace, self.tasks.wait()).await.is_err() {
            info!(
                "sidecar: {} requests did not end in time",
                self.queue.load().running
            );
        }
        self.ends.cancel();
        self.rpc.close().await;
        info!("sidecar: closed");
    }
}

async fn run_until(ends: CancellationToken, task: impl Future<Output = ()>) {
    ends.run_until_cancelled_owned(task).await;
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
