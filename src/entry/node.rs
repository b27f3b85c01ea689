use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use spdlog::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::roster::Roster;
use super::share::Share;
use super::suspects_row::SuspectsShare;
use super::{Dispatcher, EntryHandler, Limiter, Members, Policy, Suspects};
use crate::admin::{AdminHandler, Readiness};
use crate::id::Incarnation;
use crate::metrics::Meter;
use crate::net::{Handler, Shutdown, serve};
use crate::peer::{
    CrashNote, Follower, Hello, HintSender, RpcListener, SettingsRpcServer, SettingsServer,
};
use crate::platform::{InstanceList, Table};
use crate::settings::{CurrentSettings, EntryFile, SettingsPublisher, SettingsStore};
use crate::sidecar::NodeError;

const CRASH_BACKLOG: usize = 64;
/// Time for the platform's balancer to see that the entry is no longer ready.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// A running entry.
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
    stop: Shutdown,
    admin_stop: Shutdown,
    ends: CancellationToken,
    tasks: TaskTracker,
    grace: Duration,
}

impl EntryNode {
    /// Starts an entry as its file says, with a routing policy.
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
        let meter = Arc::new(Meter::to(file.statsd)?);
        let publisher = SettingsPublisher::new();
        let current = publisher.current();
        let (hints, follower) = Follower::new(
            Arc::clone(&platform),
            publisher,
            file.seeds.clone(),
            file.link_key.clone(),
            file.poll.get(),
            Arc::clone(&meter),
        );
        let door = SettingsServer::new(current.clone(), file.link_key.clone());
        let mut methods = RpcModule::new(());
        methods.merge(SettingsRpcServer::into_rpc(door)).expect("methods have distinct names");
        let rpc = RpcListener::open(file.peer, methods).await?;
        let hello =
            Hello { key: file.link_key.clone(), from: Incarnation::random(), peer: rpc.addr() };
        let parts = Parts {
            hello,
            current: current.clone(),
            platform,
            members: Arc::default(),
            suspects: Arc::default(),
            share: Arc::new(Share::new()),
            meter: Arc::clone(&meter),
            ends: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let ready = Readiness::new(current.clone());
        let (stop, admin_stop) = (Shutdown::default(), Shutdown::default());
        let handler = Arc::new(parts.handler(&file, policy));
        let data = listen(file.listen, handler, &stop, parts.tasks.clone()).await?;
        let handler = Arc::new(parts.admin(&file, ready.clone(), hints));
        let admin = listen(file.admin, handler, &admin_stop, TaskTracker::new()).await?;
        parts.spawn(follower.run());
        parts.follow_platform(&file);
        info!("entry: {} answers callers at {data} and operators at {admin}", file.name);
        let Parts { members, suspects, ends, tasks, .. } = parts;
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
            stop,
            admin_stop,
            ends,
            tasks,
            grace,
        })
    }

    /// Where callers connect.
    pub const fn data_addr(&self) -> SocketAddr {
        self.data
    }

    /// Where operators connect.
    pub const fn admin_addr(&self) -> SocketAddr {
        self.admin
    }

    /// Where the system's own processes connect.
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

    /// Requests that were in flight at crashes.
    pub const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// The counters.
    pub const fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// Shuts down gracefully: no longer ready, then no new connections, and ends after the
    /// requests in flight.
    pub async fn close(self) {
        info!("entry: leaving");
        self.ready.mark_leaving();
        sleep(NOTICE_TIME).await;
        self.stop.graceful.cancel();
        self.tasks.close();
        if timeout(self.grace, self.tasks.wait()).await.is_err() {
            info!("entry: some requests did not end in time");
        }
        self.admin_stop.graceful.cancel();
        self.ends.cancel();
        self.rpc.close().await;
        info!("entry: closed");
    }
}

/// What the parts of an entry share.
struct Parts<P> {
    hello: Hello,
    current: CurrentSettings,
    platform: Arc<P>,
    members: Arc<Members>,
    suspects: Arc<Suspects>,
    share: Arc<Share>,
    meter: Arc<Meter>,
    ends: CancellationToken,
    tasks: TaskTracker,
}

impl<P: Table + InstanceList> Parts<P> {
    fn handler<C: Policy>(&self, file: &EntryFile, policy: C) -> EntryHandler<P, C> {
        let dispatcher = Dispatcher::new(
            Arc::clone(&self.members),
            policy,
            Arc::clone(&self.suspects),
            Arc::clone(&self.meter),
            file.link_key.clone(),
        );
        EntryHandler {
            current: self.current.clone(),
            platform: Arc::clone(&self.platform),
            dispatcher: Arc::new(dispatcher),
            limiter: Limiter::default(),
            share: Arc::clone(&self.share),
            meter: Arc::clone(&self.meter),
            tasks: self.tasks.clone(),
        }
    }

    fn admin(&self, file: &EntryFile, ready: Readiness, hints: HintSender) -> AdminHandler<P> {
        AdminHandler {
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

    /// Starts the tasks that follow the list of instances and share crashes.
    fn follow_platform(&self, file: &EntryFile) {
        let (crash_sender, crashes) = mpsc::channel(CRASH_BACKLOG);
        let mut domains = vec![file.domain.clone()];
        domains.extend(file.near.iter().cloned());
        let roster = Roster {
            platform: Arc::clone(&self.platform),
            members: Arc::clone(&self.members),
            share: Arc::clone(&self.share),
            suspects: Arc::clone(&self.suspects),
            crashes: crash_sender,
            current: self.current.clone(),
            meter: Arc::clone(&self.meter),
            hello: self.hello.clone(),
            domains,
            subset: file.subset,
            poll: file.poll.get(),
            ends: self.ends.clone(),
            links: HashMap::new(),
        };
        let sharing = SuspectsShare {
            platform: Arc::clone(&self.platform),
            suspects: Arc::clone(&self.suspects),
            meter: Arc::clone(&self.meter),
        };
        self.spawn(roster.run());
        self.spawn(share_crashes(sharing, crashes));
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.ends.clone().run_until_cancelled_owned(task));
    }
}

async fn listen<H: Handler>(
    addr: SocketAddr,
    handler: Arc<H>,
    stop: &Shutdown,
    tasks: TaskTracker,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(serve(listener, handler, stop.clone(), tasks));
    Ok(addr)
}

async fn share_crashes<P: Table>(share: SuspectsShare<P>, mut crashes: mpsc::Receiver<CrashNote>) {
    while let Some(note) = crashes.recv().await {
        share.push(note).await;
    }
}
