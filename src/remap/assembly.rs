use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::event::Event;
use super::leadership::Leadership;
use super::switch::armed_last;
use super::{Demand, GroupMap, PeerRank, RankClient, RankConnector, RankSet, RankState, SharedMap};
use crate::direct::{Directory, Experts, ListChange};
use crate::event_log::Level;
use crate::platform::{Table, TableError};

/// Max number of counters that one reading takes from all ranks together: about 40 KB on the wire.
const MAX_COUNTERS_PER_READING: usize = 8_000;

/// Why a group can't be led at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AssembleError {
    /// It is incomplete or not ready, or the platform can't say who leads it; the caller retries.
    NotReady,
    /// Another process has claimed this term or a later one.
    Superseded,
}

/// A complete group with its present map.
pub(super) struct Group<P> {
    pub(super) ranks: RankSet<PeerRank<P>>,
    /// Rank beside this process.
    pub(super) local: usize,
    pub(super) map: SharedMap,
    /// Version of the map that the ranks had when they were found.
    pub(super) map_version: u64,
    /// Greatest map version used so far.
    pub(super) version: u64,
    pub(super) demand: Demand,
    pub(super) next_plan: Instant,
    pub(super) next_states: Instant,
    /// Ranks whose counts are read.
    pub(super) sampled: Vec<usize>,
}

impl<D: Table + Directory, R: RankConnector> Leadership<'_, D, R> {
    /// Finds all ranks of the group and undoes an unfinished switch.
    pub(super) async fn assemble(
        &self,
        experts: &Experts,
        fence: u64,
    ) -> Result<Group<R::Client>, AssembleError> {
        let group = self.find_ranks(experts, fence).await.ok_or(AssembleError::NotReady)?;
        match self.terms.record_switcher(self.term, group.local).await {
            Ok(()) => {
                let (epoch, ranks) = (group.ranks.epoch(), group.ranks.len());
                self.log.write(Level::Info, &Event::Group { epoch, ranks, map: group.map_version });
                Ok(group)
            }
            // Another sidecar has claimed this term or a later one.
            Err(TableError::Conflict) => Err(AssembleError::Superseded),
            Err(err) => {
                self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
                Err(AssembleError::NotReady)
            }
        }
    }

    async fn find_ranks(&self, experts: &Experts, fence: u64) -> Option<Group<R::Client>> {
        let addrs = self.rank_addrs().await?;
        let clients = addrs.iter().filter_map(|addr| self.rank_client(*addr, addrs.len()));
        let clients = clients.collect();
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
        let version = states.iter().flat_map(|s| [Some(s.map), s.prepared]).flatten().max()?;
        let map_version = states[0].map;
        let (next_plan, next_states) = (Instant::now(), Instant::now());
        let counters = (experts.sets * experts.count).max(1);
        let sampled = sample(local, size, (MAX_COUNTERS_PER_READING / counters).max(1));
        let demand = Demand::new(sampled.len(), experts.sets, experts.count);
        Some(Group {
            ranks,
            local,
            map,
            map_version,
            version,
            demand,
            next_plan,
            next_states,
            sampled,
        })
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

    fn rank_client(&self, addr: SocketAddr, ranks: usize) -> Option<PeerRank<R::Client>> {
        let direct = Arc::new(self.connector.client(addr));
        if addr == self.local_addr {
            return Some(PeerRank::local(direct, addr, self.term));
        }
        let sidecar = SocketAddr::new(addr.ip(), self.peer_port);
        let sidecar = self.sidecars.get(sidecar)?;
        Some(PeerRank::via_sidecar(direct, addr, sidecar, self.term, ranks))
    }

    async fn read_map(
        &self,
        ranks: &RankSet<PeerRank<R::Client>>,
        experts: &Experts,
    ) -> Option<SharedMap> {
        let held = ranks.held().await.into_iter().collect::<Option<Vec<_>>>()?;
        let map = GroupMap::from_ranks(&held);
        let is_whole = map.sets.len() == experts.sets && map.is_complete(experts.count);
        is_whole.then(|| map.into())
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
