use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::event::Event;
use super::map_plan::{MapPlan, plan_map};
use super::switch::{SwitchError, armed_last, settle_switch, switch};
use super::term_store::TermStore;
use super::{
    Demand, GroupMap, PeerRank, PlacementLimits, RankClient, RankConnector, RankSet, RankState,
    first_fence,
};
use crate::direct::{Directory, Experts, ListChange, RoutingChange};
use crate::event_log::{EventLog, Level};
use crate::platform::Table;
use crate::settings::RebalanceSettings;

/// Interval between attempts to find all ranks of an incomplete group.
const ASSEMBLE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two readings of the token counts.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two readings of all ranks' states. These calls also serve as the leader's
/// heartbeat to the sidecars.
const STATES_INTERVAL: Duration = Duration::from_millis(500);
/// Max number of counters that one reading takes from all ranks together: about 40 KB on the wire.
const MAX_COUNTERS_PER_READING: usize = 8_000;
/// Backoff after a failed switch, since the fault that lost its orders may persist.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);

/// Leads a group for one term: reads demand, plans maps and switches to them.
#[derive(Debug)]
pub(super) struct Leadership<'a, D, R: RankConnector> {
    pub(super) terms: &'a TermStore<D>,
    pub(super) directory: Arc<D>,
    pub(super) connector: Arc<R>,
    /// Address of the rank beside this process.
    pub(super) local_addr: SocketAddr,
    /// Port on which every sidecar of the group listens.
    pub(super) peer_port: u16,
    pub(super) service: String,
    pub(super) term: u64,
    /// Rank beside the leader that last recorded that it may begin a switch. Its machine may be
    /// frozen.
    pub(super) switcher: Option<usize>,
    pub(super) rebalance: RebalanceSettings,
    pub(super) log: EventLog,
}

/// A complete group with its present map.
struct Group<P> {
    ranks: RankSet<PeerRank<P>>,
    /// Rank beside this process.
    local: usize,
    map: GroupMap,
    /// Greatest map version used so far.
    version: u64,
    demand: Demand,
    next_plan: Instant,
    next_states: Instant,
    /// Ranks whose counts are read.
    sampled: Vec<usize>,
}

impl<D: Table + Directory, R: RankConnector> Leadership<'_, D, R> {
    /// Leads until another leader takes over. Returns without leading if the settings state no
    /// sizes of the group.
    pub(super) async fn run(self) {
        let mut fence = first_fence(self.term);
        let Some(experts) = self.experts().await else { return };
        loop {
            let Some(mut group) = self.assemble(&experts, fence).await else {
                sleep(ASSEMBLE_INTERVAL).await;
                continue;
            };
            let ended = self.rebalance(&mut group, &experts).await;
            fence = group.ranks.fence();
            if ended == SwitchError::Deposed {
                let event = Event::Deposed { term: self.term, reason: "a rank has a newer leader" };
                return self.log.write(Level::Warn, &event);
            }
        }
    }

    /// Reads the sizes of the group from the service's settings, and retries until there are
    /// settings. Returns `None` if they state no sizes.
    async fn experts(&self) -> Option<Experts> {
        loop {
            let read = self.directory.routing(None, Duration::ZERO).await;
            let changes = match read {
                Ok(changes) => changes,
                Err(err) => {
                    self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
                    sleep(ASSEMBLE_INTERVAL * 4).await;
                    continue;
                }
            };
            let routing = changes.items.into_iter().find_map(|change| match change {
                RoutingChange::Written(routing) => Some(routing),
                RoutingChange::Unusable(_) => None,
            });
            if let Some(routing) = routing {
                let service = routing.service(&self.service);
                return service.and_then(|service| service.engine).and_then(|e| e.experts);
            }
            sleep(ASSEMBLE_INTERVAL).await;
        }
    }

    /// Finds all ranks of the group and undoes an unfinished switch. Returns `None` if the group is
    /// incomplete or not ready; the caller retries.
    async fn assemble(&self, experts: &Experts, fence: u64) -> Option<Group<R::Client>> {
        let addrs = self.rank_addrs().await?;
        let clients = addrs.iter().filter_map(|addr| self.rank_client(*addr)).collect();
        let read = RankSet::new(clients, 0, fence).states_and_clients().await;
        let (size, epoch) = read.iter().find_map(|(s, _)| s.map(|s| (s.size, s.epoch)))?;
        let known = read.iter().filter(|(state, _)| state.is_some()).count();
        let last_armed = self.switcher.map(|local| armed_last(local, size)).unwrap_or_default();
        let Some(clients) = order_by_rank(read, size, epoch, &last_armed) else {
            self.log.write(Level::Info, &Event::GroupIncomplete { known, size });
            return None;
        };
        let local = clients.iter().position(PeerRank::is_local).unwrap_or_default();
        let mut ranks = RankSet::new(clients, epoch, fence);
        self.settle(&mut ranks, local, &last_armed).await.ok()?;
        let map = self.read_map(&ranks, experts).await?;
        let states = ranks.states().await.into_iter().collect::<Option<Vec<RankState>>>()?;
        if states.iter().any(|state| state.map != states[0].map || !state.is_quiet()) {
            return None;
        }
        if let Err(err) = self.terms.record_switcher(self.term, local).await {
            self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
            return None;
        }
        let version = states.iter().flat_map(|s| [Some(s.map), s.prepared]).flatten().max()?;
        let map_version = states[0].map;
        let event = Event::Group { epoch, ranks: size, map: map_version };
        self.log.write(Level::Info, &event);
        let (next_plan, next_states) = (Instant::now(), Instant::now());
        let counters = (experts.sets * experts.count).max(1);
        let sampled = sample(local, size, (MAX_COUNTERS_PER_READING / counters).max(1));
        let demand = Demand::new(sampled.len(), experts.sets, experts.count);
        Some(Group { ranks, local, map, version, demand, next_plan, next_states, sampled })
    }

    async fn rank_addrs(&self) -> Option<Vec<SocketAddr>> {
        let changes = match self.directory.upstreams(None, Duration::ZERO).await {
            Ok(changes) => changes,
            Err(err) => {
                self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
                return None;
            }
        };
        let of_service = changes.items.into_iter().filter_map(|change| match change {
            ListChange::Listed(line) if line.service == self.service => Some(line.addr),
            _ => None,
        });
        Some(of_service.collect())
    }

    fn rank_client(&self, addr: SocketAddr) -> Option<PeerRank<R::Client>> {
        let direct = Arc::new(self.connector.client(addr));
        if addr == self.local_addr {
            return Some(PeerRank::local(direct, addr, self.term));
        }
        let sidecar = SocketAddr::new(addr.ip(), self.peer_port);
        PeerRank::via_sidecar(direct, addr, sidecar, self.term).ok()
    }

    async fn read_map(
        &self,
        ranks: &RankSet<PeerRank<R::Client>>,
        experts: &Experts,
    ) -> Option<GroupMap> {
        let held = ranks.held().await.into_iter().collect::<Option<Vec<_>>>()?;
        let map = GroupMap::from_ranks(&held);
        (map.sets.len() == experts.sets && map.is_complete(experts.count)).then_some(map)
    }

    /// Undoes an unfinished switch.
    async fn settle(
        &self,
        ranks: &mut RankSet<PeerRank<R::Client>>,
        local: usize,
        last_armed: &[usize],
    ) -> Result<(), SwitchError> {
        let started = Instant::now();
        let commands = settle_switch(ranks, local, last_armed).await?;
        if commands > 0 {
            let took_ms = millis(started);
            let event = Event::Settled { epoch: ranks.epoch(), took_ms, commands };
            self.log.write(Level::Warn, &event);
        }
        Ok(())
    }

    /// Rebalances the group as demand changes, until it forms a new epoch, stops running or has
    /// another leader. Returns which of these ended it.
    async fn rebalance(&self, group: &mut Group<R::Client>, experts: &Experts) -> SwitchError {
        loop {
            sleep(OBSERVE_INTERVAL).await;
            let own = group.ranks.state_of(group.local).await;
            let unchanged = own.is_some_and(|own| own.epoch == group.ranks.epoch() && own.open);
            if !unchanged {
                return SwitchError::Failed(
                    "observe",
                    "the group is in a new epoch or not running".to_owned(),
                );
            }
            if group.next_states <= Instant::now() {
                group.next_states = Instant::now() + STATES_INTERVAL;
                if group.ranks.states().await.contains(&None) {
                    continue;
                }
            }
            let counts = group.ranks.counts(&group.sampled).await;
            let shifted = group.demand.observe(&counts);
            if shifted {
                group.next_plan = group.next_plan.min(Instant::now());
            }
            if counts.contains(&None) || Instant::now() < group.next_plan {
                continue;
            }
            if let Err(err) = self.plan(group, experts).await {
                return err;
            }
        }
    }

    /// Plans a map and switches to it if it lowers the skew enough. Undoes a switch that fails.
    async fn plan(
        &self,
        group: &mut Group<R::Client>,
        experts: &Experts,
    ) -> Result<(), SwitchError> {
        let limits = PlacementLimits {
            places: experts.places,
            spare: experts.spare,
            copy_cost: self.rebalance.copy_cost,
        };
        let plan = plan_map(&group.map, &group.demand, &limits).await;
        if plan.before - plan.after < self.rebalance.min_gain {
            return Ok(());
        }
        let started = Instant::now();
        let version = group.version + 1;
        group.version = version;
        self.log_plan(version, &plan);
        match switch(&mut group.ranks, group.local, version, &plan.map).await {
            Ok(pass) => {
                let epoch = group.ranks.epoch();
                group.map = plan.map;
                let event = Event::Switched { version, pass, epoch, took_ms: millis(started) };
                self.log.write(Level::Info, &event);
                group.next_plan = started + self.rebalance.interval();
                Ok(())
            }
            Err(SwitchError::Deposed) => Err(SwitchError::Deposed),
            Err(SwitchError::Failed(step, detail)) => {
                let epoch = group.ranks.epoch();
                let took_ms = millis(started);
                let event = Event::SwitchFailed { version, epoch, step, detail, took_ms };
                self.log.write(Level::Warn, &event);
                group.next_plan = Instant::now() + FAILURE_BACKOFF;
                let last_armed = armed_last(group.local, group.ranks.len());
                self.settle(&mut group.ranks, group.local, &last_armed).await
            }
        }
    }

    fn log_plan(&self, version: u64, plan: &MapPlan) {
        let event = Event::Planned {
            version,
            copies: plan.copies,
            skew_before: plan.before,
            skew_after: plan.after,
        };
        self.log.write(Level::Info, &event);
    }
}

/// Sorts the clients by rank. Returns `None` if the group is incomplete. One rank may be unknown if
/// it is among `last_armed`.
fn order_by_rank<P: RankClient>(
    read: Vec<(Option<RankState>, PeerRank<P>)>,
    size: usize,
    epoch: u64,
    last_armed: &[usize],
) -> Option<Vec<PeerRank<P>>> {
    let mut clients: Vec<Option<PeerRank<P>>> = (0..size).map(|_| None).collect();
    let mut unknown = Vec::new();
    for (state, client) in read {
        match state {
            Some(state) if state.epoch == epoch && state.open => {
                *clients.get_mut(state.rank)? = Some(client);
            }
            Some(_) => return None,
            None => unknown.push(client),
        }
    }
    let absent = clients.iter().position(Option::is_none);
    if let (Some(absent), [_]) =
        (absent.filter(|rank| last_armed.contains(rank)), unknown.as_slice())
    {
        clients[absent] = unknown.pop();
    }
    clients.into_iter().collect()
}

/// Chooses at most `max` ranks to sample, starting with the one beside this process.
fn sample(local: usize, size: usize, max: usize) -> Vec<usize> {
    (0..size.min(max)).map(|at| (local + at) % size).collect()
}

fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
