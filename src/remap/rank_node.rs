use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::agent::{Agent, LeaderWatch};
use super::event::Event;
use super::leadership::Leadership;
use super::map_cache::MapCache;
use super::sidecar_clients::SidecarClients;
use super::term_store::{Claim, ClaimedTerm, TermStore};
use super::{RankClient, RankConnector, RankRpcServer, RankState};
use crate::cli::Node;
use crate::direct::Directory;
use crate::event_log::{EventLog, Level};
use crate::id::Incarnation;
use crate::peer::RpcListener;
use crate::platform::{Table, TableError};
use crate::settings::{ParseError, RankFile};
use crate::units::millis;

/// Interval at which the sidecar reads the state of its own rank.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a call from the leader after which the sidecar of rank 0 takes over.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Max time for which a group may be stalled before the pass of a switch. After it the leader is
/// presumed lost if it is also silent for [`STALLED_LEADER_TIMEOUT`].
const MAX_STALL: Duration = Duration::from_millis(300);
/// Time without a call after which the leader of a stalled group is presumed lost. A leader that is
/// working on a stalled group calls its ranks all the time.
const STALLED_LEADER_TIMEOUT: Duration = Duration::from_millis(350);
/// Additional wait before a takeover, multiplied by the number of the sidecar's rank, so that the
/// sidecars don't claim the term all at once.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(60);
/// Time for which a deposed leader waits before it watches the next leader.
const DEPOSED_BACKOFF: Duration = Duration::from_secs(2);
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
        let rpc = RpcListener::open(file.peer, agent.into_rpc()).await?;
        let own = Incarnation::random();
        let monitor = LeaderMonitor {
            terms: TermStore::new(Arc::clone(&store), &file.service, own),
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

/// Watches the leader, and takes over when it is presumed lost.
struct LeaderMonitor<S, R: RankConnector> {
    terms: TermStore<S>,
    store: Arc<S>,
    connector: Arc<R>,
    rank: Arc<R::Client>,
    sidecars: SidecarClients,
    watch: LeaderWatch,
    file: RankFile,
    log: EventLog,
}

/// An unfinished switch that a rank reports, and the time since when it has not changed.
struct StalledSwitch {
    state: RankState,
    since: Instant,
}

impl<S: Table + Directory, R: RankConnector> LeaderMonitor<S, R> {
    async fn run(self) {
        if let Ok(term) = self.terms.stored().await {
            self.watch.record_call(term);
        }
        let mut stalled: Option<StalledSwitch> = None;
        let mut open_since: Option<Instant> = None;
        loop {
            sleep(POLL_INTERVAL).await;
            let state = self.rank.state().await.ok().filter(|state| state.open);
            let Some(state) = state else {
                (stalled, open_since) = (None, None);
                continue;
            };
            // Silence counts only from when the group was first seen running.
            let open_time = open_since.get_or_insert_with(Instant::now).elapsed();
            let silence = self.watch.silence().min(open_time);
            let stalled_for = stalled_time(&mut stalled, state);
            let stagger = TAKEOVER_STAGGER * u32::try_from(state.rank).unwrap_or(u32::MAX);
            let silent = silence > STALLED_LEADER_TIMEOUT + stagger;
            let reason = if silent && stalled_for.is_some_and(|time| time > MAX_STALL) {
                "the group stands still"
            } else if silence > LEADER_TIMEOUT + stagger {
                "the leader is silent"
            } else {
                continue;
            };
            self.take_over(reason).await;
            stalled = None;
        }
    }

    async fn take_over(&self, reason: &str) {
        let silence = self.watch.silence();
        let ClaimedTerm { term, switcher } = match self.terms.claim(self.watch.term()).await {
            Ok(Claim::Begun(claimed)) => claimed,
            Ok(Claim::Newer(term)) => {
                // Its leader needs time to call all sidecars.
                self.watch.record_call(term);
                self.log.write(Level::Info, &Event::OtherLeads { term });
                return;
            }
            Err(TableError::Conflict) => {
                self.log.write(Level::Info, &Event::NotClaimed);
                return;
            }
            Err(err) => {
                self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
                return;
            }
        };
        self.watch.record_call(term);
        let silence_ms = millis(silence);
        self.log.write(Level::Info, &Event::Leads { term, reason, silence_ms });
        let leadership = Leadership {
            directory: Arc::clone(&self.store),
            connector: Arc::clone(&self.connector),
            sidecars: &self.sidecars,
            local_addr: self.file.rank,
            peer_port: self.file.peer.port(),
            service: self.file.service.clone(),
            term,
            switcher,
            terms: &self.terms,
            rebalance: self.file.rebalance,
            log: self.log.clone(),
        };
        tokio::select! {
            () = leadership.run() => {}
            () = self.newer_leader(term) => {
                let event = Event::Deposed { term, reason: "a newer leader has called" };
                self.log.write(Level::Warn, &event);
            }
        }
        sleep(DEPOSED_BACKOFF).await;
    }

    /// Waits until the leader of a later term has called this sidecar.
    async fn newer_leader(&self, term: u64) {
        while self.watch.term() <= term {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Time for which the rank has been stalled before the pass of a switch. `None` unless the rank is
/// to switch at its next pass or holds the group before it.
fn stalled_time(stalled: &mut Option<StalledSwitch>, state: RankState) -> Option<Duration> {
    let next = Some(state.pass + 1);
    if state.held != next && state.armed.map(|armed| armed.pass) != next {
        *stalled = None;
        return None;
    }
    let same = |old: &StalledSwitch| {
        (old.state.pass, old.state.armed, old.state.held) == (state.pass, state.armed, state.held)
    };
    match stalled {
        Some(old) if same(old) => Some(old.since.elapsed()),
        _ => {
            *stalled = Some(StalledSwitch { state, since: Instant::now() });
            Some(Duration::ZERO)
        }
    }
}
