use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use spdlog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::entry_count::EntryCount;
use super::link_manager::LinkManager;
use super::suspects_sync::SuspectsSync;
use super::{Dispatcher, EntryHandler, Limiter, Members, Policy, Suspects};
use crate::admin::{AdminHandler, Readiness};
use crate::id::Incarnation;
use crate::memory::MemoryBudget;
use crate::metrics::Meter;
use crate::net::{
    CallerBounds, ConnectionLimit, DrainTimes, Draining, Handler, Pressure, Shutdown, listen, serve,
};
use crate::peer::{
    Hello, HintSender, RpcListener, SettingsFollower, SettingsRpcServer, SettingsServer,
};
use crate::platform::{InstanceList, Table};
use crate::settings::{CurrentSettings, EntryFile, SettingsPublisher, SettingsStore};
use crate::sidecar::NodeError;

/// Maximum number of crash reports that wait to be written to the platform's table.
const CRASH_BACKLOG: usize = 64;
/// What may be held for operators, and the number of their connections.
const ADMIN_BYTES: usize = 12 << 20;
const ADMIN_CONNECTIONS: usize = 64;
/// Time allowed for the platform's load balancer to notice that the entry is no longer ready. Only
/// then does the entry stop accepting connections.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(300);

/// A running entry: its listeners, its background tasks and the state that they share.
#[derive(Debug)]
pub struct EntryNode {
    data: SocketAddr,
    admin: SocketAddr,
    rpc: RpcListener,
    current: CurrentSettings,
    members: Arc<Members>,
    suspects: Arc<Suspects>,
    meter: Arc<Meter>,
    ready: Readiness,
    draining: Draining,
    data_shutdown: Shutdown,
    admin_shutdown: Shutdown,
    background_stop: CancellationToken,
    tasks: TaskTracker,
    grace: Duration,
}

impl EntryNode {
    /// Starts an entry from its settings file and a routing policy.
    ///
    /// # Errors
    /// [`NodeError`] if an address can't be listened on.
    pub async fn start<P, C>(
        file: EntryFile,
        platform: Arc<P>,
        policy: C,
    ) -> Result<Self, NodeError>
    where
        P: Table + InstanceList,
        C: Policy,
    {
        let meter = Arc::new(Meter::with_statsd(file.statsd)?);
        let publisher = SettingsPublisher::new();
        let current = publisher.current();
        let (hints, follower) = SettingsFollower::new(
            Arc::clone(&platform),
            publisher,
            file.seeds.clone(),
            file.link_key.clone(),
            file.poll.get(),
            Arc::clone(&meter),
        );
        let settings_server = SettingsServer::new(current.clone(), file.link_key.clone());
        let mut methods = RpcModule::new(());
        methods
            .merge(SettingsRpcServer::into_rpc(settings_server))
            .expect("methods have distinct names");
        let rpc = RpcListener::open(file.peer, methods, &file.machine.half()).await?;
        let hello =
            Hello { key: file.link_key.clone(), from: Incarnation::random(), peer: rpc.addr() };
        let shared = SharedState {
            hello,
            current: current.clone(),
            platform,
            members: Arc::default(),
            suspects: Arc::default(),
            entry_count: Arc::new(EntryCount::new()),
            meter: Arc::clone(&meter),
            background_stop: CancellationToken::new(),
            draining: Draining::default(),
            tasks: TaskTracker::new(),
        };
        let ready = Readiness::new(current.clone());
        let (data_shutdown, admin_shutdown) = (Shutdown::default(), Shutdown::default());
        let bounds = CallerBounds::of(&file.machine);
        shared.spawn(bounds.clone().report(log_pressure));
        let handler = Arc::new(shared.handler(&file, policy, bounds.memory.clone()));
        let tasks = shared.tasks.clone();
        let data = spawn_server(file.listen, handler, bounds, &data_shutdown, tasks)?;
        let bounds = admin_bounds();
        let handler =
            Arc::new(shared.admin_handler(&file, ready.clone(), hints, bounds.memory.clone()));
        let tasks = TaskTracker::new();
        let admin = spawn_server(file.admin, handler, bounds, &admin_shutdown, tasks)?;
        shared.spawn(follower.run());
        shared.spawn_platform_tasks(&file);
        info!("entry: {} listens on {data} for callers and on {admin} for operators", file.name);
        let SharedState { members, suspects, background_stop, draining, tasks, .. } = shared;
        let grace = file.grace.get();
        Ok(Self {
            data,
            admin,
            rpc,
            current,
            members,
            suspects,
            meter,
            ready,
            draining,
            data_shutdown,
            admin_shutdown,
            background_stop,
            tasks,
            grace,
        })
    }

    /// Address that callers connect to.
    pub const fn data_addr(&self) -> SocketAddr {
        self.data
    }

    /// Address of the admin API.
    pub const fn admin_addr(&self) -> SocketAddr {
        self.admin
    }

    /// Address that the system's other processes connect to.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.rpc.addr()
    }

    /// The settings in force.
    pub const fn current(&self) -> &CurrentSettings {
        &self.current
    }

    /// The upstreams that this entry may send to.
    pub const fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// The requests that were in flight when an upstream crashed.
    pub const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// The counters of this entry.
    pub const fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// Shuts down gracefully: reports not ready, then stops accepting connections, and ends once
    /// the requests in flight have ended or the grace period is over.
    pub async fn close(self) {
        info!("entry: shutting down");
        self.ready.mark_leaving();
        let begun_at = Instant::now();
        let accepts_until = begun_at + READINESS_NOTICE_TIME;
        let ends_at = accepts_until + self.grace;
        self.draining.begin(DrainTimes { begun_at, accepts_until, ends_at });
        sleep_until(accepts_until).await;
        self.data_shutdown.graceful.cancel();
        self.tasks.close();
        if timeout_at(ends_at, self.tasks.wait()).await.is_err() {
            info!("entry: some requests did not end within the grace period");
        }
        self.admin_shutdown.graceful.cancel();
        self.background_stop.cancel();
        self.rpc.close().await;
        info!("entry: shut down");
    }
}

/// State that the components of an entry share.
struct SharedState<P> {
    hello: Hello,
    current: CurrentSettings,
    platform: Arc<P>,
    members: Arc<Members>,
    suspects: Arc<Suspects>,
    entry_count: Arc<EntryCount>,
    meter: Arc<Meter>,
    background_stop: CancellationToken,
    draining: Draining,
    tasks: TaskTracker,
}

impl<P: Table + InstanceList> SharedState<P> {
    fn handler<C: Policy>(
        &self,
        file: &EntryFile,
        policy: C,
        memory: MemoryBudget,
    ) -> EntryHandler<P, C> {
        let dispatcher = Dispatcher::new(
            Arc::clone(&self.members),
            policy,
            Arc::clone(&self.suspects),
            Arc::clone(&self.meter),
            file.link_key.clone(),
            self.draining.clone(),
        );
        EntryHandler {
            current: self.current.clone(),
            platform: Arc::clone(&self.platform),
            dispatcher: Arc::new(dispatcher),
            limiter: Limiter::default(),
            entry_count: Arc::clone(&self.entry_count),
            memory,
            meter: Arc::clone(&self.meter),
            tasks: self.tasks.clone(),
        }
    }

    fn admin_handler(
        &self,
        file: &EntryFile,
        ready: Readiness,
        hints: HintSender,
        memory: MemoryBudget,
    ) -> AdminHandler<P> {
        AdminHandler {
            memory,
            store: SettingsStore::new(Arc::clone(&self.platform)),
            platform: Arc::clone(&self.platform),
            current: self.current.clone(),
            members: Arc::clone(&self.members),
            suspects: Arc::clone(&self.suspects),
            meter: Arc::clone(&self.meter),
            operators: file.operators.clone(),
            ready,
            hints,
            hello: self.hello.clone(),
        }
    }

    /// Starts the tasks that follow the platform's instance list and share crash reports with other
    /// entries.
    fn spawn_platform_tasks(&self, file: &EntryFile) {
        let (crash_sender, crashes) = mpsc::channel(CRASH_BACKLOG);
        let mut domains = vec![file.domain.clone()];
        domains.extend(file.near.iter().cloned());
        let manager = LinkManager {
            platform: Arc::clone(&self.platform),
            members: Arc::clone(&self.members),
            entry_count: Arc::clone(&self.entry_count),
            suspects: Arc::clone(&self.suspects),
            crash_sender,
            current: self.current.clone(),
            meter: Arc::clone(&self.meter),
            hello: self.hello.clone(),
            domains,
            subset: file.subset,
            poll: file.poll.get(),
            background_stop: self.background_stop.clone(),
            links: HashMap::new(),
        };
        let sync = SuspectsSync {
            platform: Arc::clone(&self.platform),
            suspects: Arc::clone(&self.suspects),
            meter: Arc::clone(&self.meter),
        };
        self.spawn(manager.run());
        self.spawn(async move { sync.share(crashes).await });
    }

    /// Spawns a task that runs until the entry shuts down.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.background_stop.clone().run_until_cancelled_owned(task));
    }
}

fn log_pressure(pressure: &Pressure) {
    warn!("entry: callers take more than they may: {pressure:?}");
}

/// Returns the bounds for operators.
fn admin_bounds() -> CallerBounds {
    CallerBounds {
        memory: MemoryBudget::new(ADMIN_BYTES),
        connections: ConnectionLimit::new(ADMIN_CONNECTIONS),
    }
}

/// Binds an address, serves it in a task and returns the bound address.
fn spawn_server<H: Handler>(
    addr: SocketAddr,
    handler: Arc<H>,
    bounds: CallerBounds,
    shutdown: &Shutdown,
    tasks: TaskTracker,
) -> io::Result<SocketAddr> {
    let listener = listen(addr)?;
    let addr = listener.local_addr()?;
    tokio::spawn(serve(listener, handler, bounds, shutdown.clone(), tasks));
    Ok(addr)
}
