use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::event::Event;
use super::leadership::Leadership;
use super::switch::{SwitchError, armed_last};
use super::{
    Demand, FoundRank, GroupMap, PeerRank, RankClient, RankConnector, RankSet, RankState,
    SelectedRanks, SharedMap,
};
use crate::direct::{Directory, Experts, ListChange};
use crate::event_log::Level;
use crate::membership::GroupRow;
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
    /// A rank has refused an order as fenced.
    Fenced,
}

/// A complete group with its present map.
pub(super) struct Group<P> {
    /// Members in this epoch.
    pub(super) row: GroupRow,
    pub(super) ranks: RankSet<PeerRank<P>>,
    /// Rank beside this process.
    pub(super) local: usize,
    pub(super) map: SharedMap,
    /// Version of the map that the ranks had when they were found.
    pub(super) map_version: u64,
    pub(super) demand: Demand,
    pub(super) next_plan: Instant,
    pub(super) next_states: Instant,
    /// Pass at which the ranks last switched, or are going to.
    pub(super) switch_pass: u64,
    /// Ranks whose counts are read.
    pub(super) sampled: Vec<usize>,
}

impl<D: Table + Directory, R: RankConnector> Leadership<'_, D, R> {
    /// Finds all ranks of the group and undoes an unfinished switch. The fencing tokens of its orders
    /// start after `fence`, which is set to the last one.
    pub(super) async fn assemble(
        &self,
        experts: &Experts,
        fence: &mut u64,
    ) -> Result<Group<R::Client>, AssembleError> {
        let group = self.find_ranks(experts, fence).await?;
        match self.terms.record_switcher(self.leader.term, group.local).await {
            Ok(()) => {
                let (epoch, ranks) = (group.ranks.epoch(), group.ranks.len());
                let (name, map) = (self.leader.group.as_str(), group.map_version);
                self.log.write(Level::Info, &Event::Group { group: name, epoch, ranks, map });
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

    async fn find_ranks(
        &self,
        experts: &Experts,
        fence: &mut u64,
    ) -> Result<Group<R::Client>, AssembleError> {
        let found = self.find_upstreams().await.ok_or(AssembleError::NotReady)?;
        let selected = self.select(found).await.ok_or(AssembleError::NotReady)?;
        let (epoch, size) = (selected.epoch, selected.size());
        let ranks = selected.complete().ok_or(AssembleError::NotReady)?;
        let (members, clients): (Vec<String>, Vec<_>) = ranks.into_iter().unzip();
        let clients: Vec<_> = clients.into_iter().map(|c| c.with_group_size(size)).collect();
        let local = clients.iter().position(PeerRank::is_local);
        let local = local.ok_or(AssembleError::NotReady)?;
        let mut ranks = RankSet::new(clients, self.leader.group.clone(), epoch, *fence);
        let last_armed =
            self.switcher.map(|switcher| armed_last(switcher, size)).unwrap_or_default();
        let settled = self.settle(&mut ranks, local, &last_armed).await;
        // The ranks refuse tokens below those of the orders that were given, also if this failed.
        *fence = ranks.fence();
        match settled {
            Ok(()) => {}
            Err(SwitchError::Deposed) => return Err(AssembleError::Fenced),
            Err(SwitchError::Failed(..)) => return Err(AssembleError::NotReady),
        }
        self.read_group(ranks, local, members, experts).await
    }

    /// Reads the map and the states of a settled group. A rank with a version of a later term counts
    /// as one that refuses orders as fenced.
    async fn read_group(
        &self,
        ranks: RankSet<PeerRank<R::Client>>,
        local: usize,
        members: Vec<String>,
        experts: &Experts,
    ) -> Result<Group<R::Client>, AssembleError> {
        let map = self.read_map(&ranks, experts).await.ok_or(AssembleError::NotReady)?;
        let states = ranks.states().await.into_iter().collect::<Option<Vec<RankState>>>();
        let states = states.ok_or(AssembleError::NotReady)?;
        if states.iter().any(|state| state.map != states[0].map || !state.is_quiet()) {
            return Err(AssembleError::NotReady);
        }
        if states.iter().any(|state| state.last_version() > ranks.fence()) {
            return Err(AssembleError::Fenced);
        }
        let map_version = states[0].map;
        let (next_plan, next_states) = (Instant::now(), Instant::now());
        let counters = (experts.sets * experts.count).max(1);
        let sampled = sample(local, ranks.len(), (MAX_COUNTERS_PER_READING / counters).max(1));
        let demand = Demand::new(sampled.len(), experts.sets, experts.count);
        let row = GroupRow {
            service: self.service.clone(),
            group: self.leader.group.clone(),
            epoch: ranks.epoch(),
            term: self.leader.term,
            members,
        };
        self.memory.record_members(&row);
        Ok(Group {
            ranks,
            row,
            local,
            map,
            map_version,
            demand,
            next_plan,
            next_states,
            switch_pass: 0,
            sampled,
        })
    }

    /// Selects the ranks of the group, with at most one that gives no state. Which upstream that is
    /// follows from the members in this epoch, as this process or an earlier leader found them.
    async fn select(
        &self,
        found: Vec<FoundRank<PeerRank<R::Client>>>,
    ) -> Option<SelectedRanks<PeerRank<R::Client>>> {
        let group = &self.leader.group;
        let states = found.iter().filter_map(|rank| rank.state.as_ref());
        let known = states.clone().filter(|state| state.group == *group).count();
        let size = states.clone().find(|state| state.group == *group)?.size;
        if states.clone().any(|state| state.group != *group) {
            self.memory.record_others();
        }
        let incomplete = || {
            let event = Event::GroupIncomplete { group: group.as_str(), known, size };
            self.log.write(Level::Info, &event);
        };
        let Some(mut selected) = SelectedRanks::new(found, group) else {
            incomplete();
            return None;
        };
        selected.has_others |= self.memory.has_others();
        if let Some(absent) = selected.absent(self.switcher) {
            self.place_absent(&mut selected, absent).await;
        }
        if !selected.is_complete() {
            incomplete();
            return None;
        }
        Some(selected)
    }

    /// Finds the silent upstream that is the rank `absent`.
    async fn place_absent(&self, selected: &mut SelectedRanks<PeerRank<R::Client>>, absent: usize) {
        let known = self.memory.members();
        let is_known = known.is_some_and(|row| selected.place_listed(absent, &row));
        if is_known || selected.place_only_silent(absent) {
            return;
        }
        let key = GroupRow::key(&self.service, &self.leader.group);
        match self.directory.get(&key).await {
            Ok(row) => {
                if let Some(row) = row.and_then(|row| row.read::<GroupRow>().ok()) {
                    selected.place_listed(absent, &row);
                }
            }
            Err(err) => {
                self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
            }
        }
    }

    /// Reads the states of all upstreams of the service.
    async fn find_upstreams(&self) -> Option<Vec<FoundRank<PeerRank<R::Client>>>> {
        let listed = self.listed().await?;
        Some(self.read_states(&listed, listed.len()).await)
    }

    /// Reads the states of some of `count` upstreams concurrently.
    pub(super) async fn read_states(
        &self,
        listed: &[(String, SocketAddr)],
        count: usize,
    ) -> Vec<FoundRank<PeerRank<R::Client>>> {
        let read = listed.iter().filter_map(|(id, addr)| {
            let client = self.rank_client(*addr, count)?;
            Some(async move {
                let state = client.state().await.ok();
                FoundRank { id: id.clone(), state, client }
            })
        });
        join_all(read).await
    }

    /// Ids and addresses of all upstreams of the service.
    pub(super) async fn listed(&self) -> Option<Vec<(String, SocketAddr)>> {
        let changes = match self.directory.upstreams(None, Duration::ZERO).await {
            Ok(changes) => changes,
            Err(err) => {
                self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
                return None;
            }
        };
        let of_service = changes.items.into_iter().filter_map(|change| match change {
            ListChange::Listed(line) if line.service == self.service => Some((line.id, line.addr)),
            _ => None,
        });
        Some(of_service.collect())
    }

    fn rank_client(&self, addr: SocketAddr, ranks: usize) -> Option<PeerRank<R::Client>> {
        let direct = Arc::new(self.connector.client(addr));
        if addr == self.local_addr {
            return Some(PeerRank::local(direct, addr, self.leader.clone()));
        }
        let sidecar = SocketAddr::new(addr.ip(), self.peer_port);
        let sidecar = self.sidecars.get(sidecar)?;
        Some(PeerRank::via_sidecar(direct, addr, sidecar, self.leader.clone(), ranks))
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

/// Chooses at most `max` ranks to sample, starting with the one beside this process.
fn sample(local: usize, size: usize, max: usize) -> Vec<usize> {
    (0..size.min(max)).map(|at| (local + at) % size).collect()
}
