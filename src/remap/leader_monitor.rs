use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::event::Event;
use super::group_memory::GroupMemory;
use super::leader_watch::LeaderWatch;
use super::leadership::{LeadEnd, Leadership};
use super::sidecar_clients::SidecarClients;
use super::term_store::{Claim, ClaimedTerm, TermStore};
use super::{LeaderTerm, RankClient, RankConnector, RankState};
use crate::direct::Directory;
use crate::event_log::{EventLog, Level};
use crate::id::Incarnation;
use crate::membership::GroupName;
use crate::platform::{Table, TableError};
use crate::settings::RankFile;
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
/// Time after an order was refused as fenced in which a newer leader calls, since leaders read the
/// states of all ranks every 500 ms. It is shorter than the time after which another sidecar takes
/// over.
const FENCED_BACKOFF: Duration = Duration::from_millis(700);

/// Watches the leader, and takes over when it is presumed lost.
pub(super) struct LeaderMonitor<S, R: RankConnector> {
    pub(super) own: Incarnation,
    /// Term of the rank's group, `None` until the group is known.
    pub(super) terms: Option<TermStore<S>>,
    pub(super) memory: GroupMemory,
    pub(super) store: Arc<S>,
    pub(super) connector: Arc<R>,
    pub(super) rank: Arc<R::Client>,
    pub(super) sidecars: SidecarClients,
    pub(super) watch: LeaderWatch,
    pub(super) file: RankFile,
    pub(super) log: EventLog,
}

/// An unfinished switch that a rank reports, and the time since when it has not changed.
struct StalledSwitch {
    state: RankState,
    since: Instant,
}

impl<S: Table + Directory, R: RankConnector> LeaderMonitor<S, R> {
    /// Runs until it is cancelled.
    pub(super) async fn run(mut self) {
        let mut stalled: Option<StalledSwitch> = None;
        let mut open_since: Option<Instant> = None;
        loop {
            sleep(POLL_INTERVAL).await;
            let Some(state) = self.read_rank().await.filter(|state| state.open) else {
                (stalled, open_since) = (None, None);
                continue;
            };
            if self.terms.as_ref().is_none_or(|terms| *terms.group() != state.group) {
                self.start_over(&state.group).await;
                (stalled, open_since) = (None, None);
            }
            // Silence counts only from when the group was first seen running.
            let open_time = open_since.get_or_insert_with(Instant::now).elapsed();
            let silence = self.watch.silence().min(open_time);
            let stalled_for = stalled_time(&mut stalled, &state);
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

    /// Reads the rank's state, which says its group.
    async fn read_rank(&self) -> Option<RankState> {
        let state = self.rank.state().await.ok()?;
        self.watch.set_group(&state.group);
        Some(state)
    }

    /// Starts with the term of the rank's group. What is known of another group's leader no longer
    /// counts.
    async fn start_over(&mut self, group: &GroupName) {
        let terms = TermStore::new(Arc::clone(&self.store), &self.file.service, group, self.own);
        if let Ok(term) = terms.stored().await {
            self.watch.record_call(&LeaderTerm { group: group.clone(), term });
        }
        if let Some(before) = self.terms.replace(terms) {
            let event = Event::RankMoved { from: before.group().as_str(), to: group.as_str() };
            self.log.write(Level::Info, &event);
            self.memory = GroupMemory::default();
        }
    }

    /// Claims the group's term and leads. After a rank has refused an order as fenced, though no
    /// newer leader has called, it claims a term further ahead: the rank may come from a group with
    /// greater terms.
    async fn take_over(&self, reason: &str) {
        let Some(terms) = &self.terms else { return };
        let group = terms.group();
        let Some(known) = self.watch.term_of(group) else { return };
        let silence_ms = millis(self.watch.silence());
        let Some(mut claimed) = self.begin(group, terms.claim(known).await) else { return };
        let mut reason = reason;
        loop {
            let term = claimed.term;
            let event = Event::Leads { group: group.as_str(), term, reason, silence_ms };
            self.log.write(Level::Info, &event);
            if self.lead(terms, claimed).await != LeadEnd::Fenced {
                break;
            }
            sleep(FENCED_BACKOFF).await;
            if self.watch.term_of(group) != Some(term) {
                break;
            }
            reason = "a rank knows a later term";
            let Some(next) = self.begin(group, terms.claim_ahead(term).await) else { return };
            claimed = next;
        }
        if self.watch.is_in(group) {
            sleep(DEPOSED_BACKOFF).await;
        }
    }

    /// Records the outcome of an attempt to begin a term. `None` if this process does not lead.
    fn begin(&self, group: &GroupName, claim: Result<Claim, TableError>) -> Option<ClaimedTerm> {
        let call = |term| LeaderTerm { group: group.clone(), term };
        match claim {
            Ok(Claim::Begun(claimed)) => {
                self.watch.record_call(&call(claimed.term));
                return Some(claimed);
            }
            Ok(Claim::Newer(term)) => {
                // Its leader needs time to call all sidecars.
                self.watch.record_call(&call(term));
                self.log.write(Level::Info, &Event::OtherLeads { term });
            }
            Err(TableError::Conflict) => self.log.write(Level::Info, &Event::NotClaimed),
            Err(err) => {
                self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
            }
        }
        None
    }

    /// Leads the group for a term, until another leader has called or the rank has moved.
    async fn lead(&self, terms: &TermStore<S>, claimed: ClaimedTerm) -> LeadEnd {
        let ClaimedTerm { term, switcher } = claimed;
        let leader = LeaderTerm { group: terms.group().clone(), term };
        let leadership = Leadership {
            directory: Arc::clone(&self.store),
            connector: Arc::clone(&self.connector),
            sidecars: &self.sidecars,
            local_addr: self.file.rank,
            peer_port: self.file.peer.port(),
            service: self.file.service.clone(),
            leader: leader.clone(),
            memory: &self.memory,
            switcher,
            terms,
            rebalance: self.file.rebalance,
            log: self.log.clone(),
        };
        tokio::select! {
            ended = leadership.run() => ended,
            reason = self.replaced(&leader) => {
                self.log.write(Level::Warn, &Event::Deposed { term, reason });
                LeadEnd::Replaced
            }
        }
    }

    /// Waits until the leader of a later term has called this sidecar, or its rank is in another
    /// group. Returns which.
    async fn replaced(&self, leader: &LeaderTerm) -> &'static str {
        loop {
            match self.watch.term_of(&leader.group) {
                None => return "the rank is in another group",
                Some(term) if term > leader.term => return "a newer leader has called",
                Some(_) => sleep(POLL_INTERVAL).await,
            }
            self.read_rank().await;
        }
    }
}

/// Time for which the rank has been stalled before the pass of a switch. `None` unless the rank is
/// to switch at its next pass or holds the group before it.
fn stalled_time(stalled: &mut Option<StalledSwitch>, state: &RankState) -> Option<Duration> {
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
            *stalled = Some(StalledSwitch { state: state.clone(), since: Instant::now() });
            Some(Duration::ZERO)
        }
    }
}
