use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::agent::{Agent, LeaderWatch};
use super::event::Event;
use super::lead::Lead;
use super::term::{Claimed, Terms};
use super::{RankClient, RankConnector, RankRpcServer, RankState};
use crate::cli::Node;
use crate::direct::Directory;
use crate::event_log::{EventLog, Level};
use crate::id::Incarnation;
use crate::peer::RpcListener;
use crate::platform::{Table, TableError};
use crate::settings::{ParseError, RankFile};

/// Pause between two looks at the own rank.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Silence of the leader after which the first rank's sidecar takes over.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Time for which a group may stand before the pass of a switch; after it the leader is taken for
/// lost.
const STANDSTILL: Duration = Duration::from_millis(300);
/// Silence by which a leader whose group stands is taken for lost; one that brings a group on asks
/// its ranks all the time.
const STANDING_SILENCE: Duration = Duration::from_millis(350);
/// Time by which each further rank's sidecar waits longer than the one before.
const STAGGER: Duration = Duration::from_millis(60);
/// Pause of a process that has lost the lead.
const DEPOSED_PAUSE: Duration = Duration::from_secs(2);
/// Longest wait for a switch under way at the end.
const CLOSE_TIME: Duration = Duration::from_millis(800);

/// The sidecar beside a rank: passes the leader's orders on, and leads if no other sidecar does.
#[derive(Debug)]
pub struct RankNode {
    file: RankFile,
    rpc: RpcListener,
    stop: CancellationToken,
    tasks: TaskTracker,
    log: EventLog,
}

impl RankNode {
    /// Starts listening and watching the leader.
    ///
    /// # Errors
    /// If the peer address can't be listened on.
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
        let agent = Agent {
            connector: Arc::clone(&connector),
            rank: Arc::clone(&rank),
            watch: watch.clone(),
        };
        let rpc = RpcListener::open(file.peer, agent.into_rpc()).await?;
        let own = Incarnation::random();
        let follow = Follow {
            terms: Terms::new(Arc::clone(&store), &file.service, own),
            store,
            connector,
            rank,
            watch,
            file: file.clone(),
            log: log.clone(),
        };
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(stop.clone().run_until_cancelled_owned(follow.run()));
        let version = env!("CARGO_PKG_VERSION");
        let (peer, rank) = (rpc.addr().to_string(), file.rank.to_string());
        log.write(Level::Info, &Event::Started { version, peer, rank });
        Ok(Self { file: file.clone(), rpc, stop, tasks, log })
    }

    /// Where other sidecars call.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.rpc.addr()
    }
}

impl Node for RankNode {
    type File = RankFile;

    /// Takes in that the process's own settings file was read again. The file in force stays until
    /// the next start; a faulty one is told at once.
    fn reload(&self, read: &Result<RankFile, ParseError>) {
        let detail = match read {
            Ok(file) if *file == self.file => "unchanged".to_owned(),
            Ok(_) => "changed, in force from the next start".to_owned(),
            Err(err) => err.to_string(),
        };
        self.log.write(Level::Info, &Event::Reloaded { ok: read.is_ok(), detail: &detail });
    }

    /// Ends after a switch under way.
    async fn close(self) {
        self.log.write(Level::Info, &Event::Stopping { leads: false });
        self.stop.cancel();
        self.tasks.close();
        tokio::time::timeout(CLOSE_TIME, self.tasks.wait()).await.ok();
        self.rpc.kill();
        self.log.write(Level::Info, &Event::Stopped);
        self.log.close();
    }
}

/// Watches the leader, and takes over when it is lost.
struct Follow<S, R: RankConnector> {
    terms: Terms<S>,
    store: Arc<S>,
    connector: Arc<R>,
    rank: Arc<R::Client>,
    watch: LeaderWatch,
    file: RankFile,
    log: EventLog,
}

/// Since when a rank has shown the same unfinished switch.
struct Standing {
    state: RankState,
    since: Instant,
}

impl<S: Table + Directory, R: RankConnector> Follow<S, R> {
    async fn run(self) {
        let mut standing: Option<Standing> = None;
        let mut open_since: Option<Instant> = None;
        loop {
            sleep(LOOK_PAUSE).await;
            let state = self.rank.state().await.ok().filter(|state| state.open);
            let Some(state) = state else {
                (standing, open_since) = (None, None);
                continue;
            };
            let open_time = open_since.get_or_insert_with(Instant::now).elapsed();
            let silence = self.watch.silence().min(open_time);
            let stands = stands_still(&mut standing, state);
            let stagger = STAGGER * u32::try_from(state.rank).unwrap_or(u32::MAX);
            let silent = silence > STANDING_SILENCE + stagger;
            let reason = if silent && stands.is_some_and(|time| time > STANDSTILL) {
                "the group stands still"
            } else if silence > SILENCE + stagger {
                "the leader is silent"
            } else {
                continue;
            };
            self.take_over(reason).await;
            standing = None;
        }
    }

    async fn take_over(&self, reason: &str) {
        let silence = self.watch.silence();
        let Claimed { term, switcher } = match self.terms.claim().await {
            Ok(claimed) => claimed,
            Err(TableError::Conflict) => {
                self.log.write(Level::Info, &Event::NotClaimed);
                return;
            }
            Err(err) => {
                self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
                return;
            }
        };
        self.watch.heard(term);
        let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        self.log.write(Level::Info, &Event::Leads { term, reason, silence_ms });
        let lead = Lead {
            directory: Arc::clone(&self.store),
            connector: Arc::clone(&self.connector),
            own: self.file.rank,
            peer_port: self.file.peer.port(),
            service: self.file.service.clone(),
            term,
            switcher,
            terms: &self.terms,
            rebalance: self.file.rebalance,
            log: self.log.clone(),
        };
        tokio::select! {
            () = lead.run() => {}
            () = self.newer_leader(term) => {
                let event = Event::Deposed { term, reason: "a newer leader has called" };
                self.log.write(Level::Warn, &event);
            }
        }
        sleep(DEPOSED_PAUSE).await;
    }

    /// Waits until a newer leader has called this sidecar.
    async fn newer_leader(&self, term: u64) {
        while self.watch.term() <= term {
            sleep(LOOK_PAUSE).await;
        }
    }
}

/// Time for which a rank has stood before the pass of a switch.
fn stands_still(standing: &mut Option<Standing>, state: RankState) -> Option<Duration> {
    let next = Some(state.pass + 1);
    if state.held != next && state.armed.map(|armed| armed.pass) != next {
        *standing = None;
        return None;
    }
    let same = |old: &Standing| {
        (old.state.pass, old.state.armed, old.state.held) == (state.pass, state.armed, state.held)
    };
    match standing {
        Some(old) if same(old) => Some(old.since.elapsed()),
        _ => {
            *standing = Some(Standing { state, since: Instant::now() });
            Some(Duration::ZERO)
        }
    }
}
