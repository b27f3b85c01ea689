use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::agent::Agent;
use super::event::Event;
use super::group_memory::GroupMemory;
use super::leader_monitor::LeaderMonitor;
use super::leader_watch::LeaderWatch;
use super::map_cache::MapCache;
use super::sidecar_clients::SidecarClients;
use super::{RankConnector, RankRpcServer};
use crate::cli::Node;
use crate::direct::Directory;
use crate::event_log::{EventLog, Level};
use crate::id::Incarnation;
use crate::peer::RpcListener;
use crate::platform::Table;
use crate::settings::{ParseError, RankFile};

/// Max wait at shutdown for the task that watches the leader or leads to end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(800);

/// The sidecar beside a rank. Forwards the leader's orders, and leads if no other sidecar does.
#[derive(Debug)]
pub struct RankNode {
    file: RankFile,
    rpc: RpcListener,
    stop: CancellationToken,
    tasks: TaskTracker,
    log: EventLog,
}

impl RankNode {
    /// Starts to listen for calls and to watch the leader.
    ///
    /// # Errors
    /// If the process can't listen on the peer address.
    pub async fn start<S, R>(
        file: &RankFile,
        store: Arc<S>,
        connector: Arc<R>,
        log: EventLog,
    ) -> io::Result<Self>
    where
        S: Table + Directory,
        R: RankConnector,
    {
        let rank = Arc::new(connector.client(file.rank));
        let watch = LeaderWatch::new();
        let sidecars = SidecarClients::default();
        let agent = Agent {
            connector: Arc::clone(&connector),
            rank: Arc::clone(&rank),
            watch: watch.clone(),
            maps: MapCache::default(),
            sidecars: sidecars.clone(),
            log: log.clone(),
        };
        let rpc = RpcListener::open(file.peer, agent.into_rpc(), &file.machine).await?;
        let pressure_log = log.clone();
        let report = rpc.bounds().clone().report(move |pressure| {
            pressure_log.write(Level::Warn, &Event::CallersBounded(pressure));
        });
        let monitor = LeaderMonitor {
            own: Incarnation::random(),
            terms: None,
            memory: GroupMemory::default(),
            store,
            connector,
            rank,
            sidecars,
            watch,
            file: file.clone(),
            log: log.clone(),
        };
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(stop.clone().run_until_cancelled_owned(monitor.run()));
        tasks.spawn(stop.clone().run_until_cancelled_owned(report));
        let version = env!("CARGO_PKG_VERSION");
        let (peer, rank) = (rpc.addr().to_string(), file.rank.to_string());
        log.write(Level::Info, &Event::Started { version, peer, rank });
        Ok(Self { file: file.clone(), rpc, stop, tasks, log })
    }

    /// Address at which other sidecars call this process.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.rpc.addr()
    }
}

impl Node for RankNode {
    type File = RankFile;

    /// Logs the result of re-reading the process's own settings file. The settings in force stay
    /// until the next start; an invalid file is reported at once.
    fn reload(&self, read: &Result<RankFile, ParseError>) {
        let detail = match read {
            Ok(file) if *file == self.file => "unchanged".to_owned(),
            Ok(_) => "changed, in force from the next start".to_owned(),
            Err(err) => err.to_string(),
        };
        self.log.write(Level::Info, &Event::Reloaded { ok: read.is_ok(), detail: &detail });
    }

    /// Stops the process. Cancels the task that watches the leader or leads, and with it a switch
    /// under way.
    async fn close(self) {
        self.log.write(Level::Info, &Event::Stopping { leads: false });
        self.stop.cancel();
        self.tasks.close();
        tokio::time::timeout(CLOSE_TIMEOUT, self.tasks.wait()).await.ok();
        self.rpc.kill();
        self.log.write(Level::Info, &Event::Stopped);
        self.log.close();
    }
}
