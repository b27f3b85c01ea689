use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonyusher::direct::{
    Changes, Cursor, Directory, DirectoryError, ListChange, RoutingChange, RowChange,
};
use ebonyusher::platform::{Row, Table, TableError, Txn};
use ebonyusher::remap::{GroupMap, RankConnector, SharedMap};
use ebonyusher_standin::{MemPlatform, RankGroupStandin};
use tokio::time::sleep;

use super::host_client::HostClient;
use crate::large_group::{SETS, changes, listed, routing};

pub(super) const EXPERTS: usize = 12;
pub(super) const PASS_TIME: Duration = Duration::from_millis(20);
/// Time in which a group forms.
pub(super) const FORM_TIME: Duration = Duration::from_secs(2);
/// Passes after which other experts are in demand.
const PASSES_PER_SHIFT: u64 = 60;

/// Hosts with one rank each, in several groups of a service.
#[derive(Debug)]
pub(super) struct World {
    pub(super) groups: Vec<RankGroupStandin>,
    /// Group and position of the rank on each host.
    places: Mutex<Vec<(usize, usize)>>,
    /// Hosts in the order in which the platform lists them.
    listing: Mutex<Vec<usize>>,
    /// Hosts whose ranks give no answer.
    silent: Mutex<HashSet<usize>>,
    /// Maps of each group by version.
    pub(super) maps: Vec<Mutex<HashMap<u64, SharedMap>>>,
    /// Descriptions of orders that reached a running rank of another group.
    pub(super) strays: Mutex<Vec<String>>,
    pub(super) platform: MemPlatform,
}

impl World {
    /// Groups `g-0`, `g-1` and so on, given with their epochs and numbers of ranks. The hosts of the
    /// groups alternate and are listed in that order.
    pub(super) fn new(groups: &[(u64, usize)]) -> Arc<Self> {
        let standin = |(at, (epoch, ranks)): (usize, &(u64, usize))| {
            RankGroupStandin::named(&name(at), *epoch, *ranks)
        };
        let most = groups.iter().map(|(_, ranks)| *ranks).max().unwrap_or_default();
        let places: Vec<(usize, usize)> = (0..most)
            .flat_map(|rank| (0..groups.len()).map(move |group| (group, rank)))
            .filter(|(group, rank)| *rank < groups[*group].1)
            .collect();
        let first_map = |(_, ranks): &(u64, usize)| {
            Mutex::new(HashMap::from([(0, GroupMap::in_turn(SETS, *ranks, EXPERTS).into())]))
        };
        Arc::new(Self {
            groups: groups.iter().enumerate().map(standin).collect(),
            listing: Mutex::new((0..places.len()).collect()),
            places: Mutex::new(places),
            silent: Mutex::default(),
            maps: groups.iter().map(first_map).collect(),
            strays: Mutex::default(),
            platform: MemPlatform::new(),
        })
    }

    pub(super) fn hosts(&self) -> usize {
        self.places.lock().unwrap().len()
    }

    /// Group and position of the rank on a host.
    pub(super) fn place(&self, host: usize) -> (usize, usize) {
        self.places.lock().unwrap()[host]
    }

    /// Host of a rank.
    pub(super) fn host(&self, group: usize, rank: usize) -> usize {
        self.places.lock().unwrap().iter().position(|place| *place == (group, rank)).unwrap()
    }

    pub(super) fn list(&self, hosts: Vec<usize>) {
        *self.listing.lock().unwrap() = hosts;
    }

    pub(super) fn set_silent(&self, host: usize, silent: bool) {
        let mut hosts = self.silent.lock().unwrap();
        if silent {
            hosts.insert(host)
        } else {
            hosts.remove(&host)
        };
    }

    pub(super) fn is_silent(&self, host: usize) -> bool {
        self.silent.lock().unwrap().contains(&host)
    }

    /// Exchanges the ranks of two groups at a position. Both groups form a new epoch and then run.
    pub(super) async fn exchange(&self, one: usize, other: usize, rank: usize) {
        let (first, second) = (self.host(one, rank), self.host(other, rank));
        let fences = [self.groups[one].fence(rank), self.groups[other].fence(rank)];
        self.groups[one].reform();
        self.groups[other].reform();
        self.places.lock().unwrap().swap(first, second);
        self.groups[one].set_fence(rank, fences[1]);
        self.groups[other].set_fence(rank, fences[0]);
        sleep(FORM_TIME).await;
        self.groups[one].open();
        self.groups[other].open();
    }

    /// Returns how often each expert was chosen in a group: two get most of the demand.
    pub(super) fn counts(&self, group: usize) -> Vec<u64> {
        let hot = |begun: u64| ((begun / PASSES_PER_SHIFT) as usize * 5 + group) % EXPERTS;
        let mut counts = vec![0; EXPERTS];
        for begun in 0..=self.groups[group].pass() {
            for (expert, count) in counts.iter_mut().enumerate() {
                let is_hot = expert == hot(begun) || expert == (hot(begun) + 3) % EXPERTS;
                *count += if is_hot { 40 } else { 4 };
            }
        }
        (0..SETS).flat_map(|_| counts.clone()).collect()
    }

    pub(super) fn split_passes(&self) -> Vec<Vec<u64>> {
        self.groups.iter().map(RankGroupStandin::split_passes).collect()
    }

    pub(super) fn strays(&self) -> Vec<String> {
        self.strays.lock().unwrap().clone()
    }
}

pub(super) fn name(group: usize) -> String {
    format!("g-{group}")
}

pub(super) fn host_id(host: usize) -> String {
    format!("u-{host}")
}

pub(super) fn host_addr(host: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(127, 9, 2, u8::try_from(host + 1).unwrap());
    SocketAddr::new(IpAddr::V4(ip), 7_000)
}

/// Makes clients of the ranks, which are told apart by the addresses of their hosts.
#[derive(Debug)]
pub(super) struct Connector(pub(super) Arc<World>);

impl RankConnector for Connector {
    type Client = HostClient;

    fn client(&self, addr: SocketAddr) -> HostClient {
        let host = (0..self.0.hosts()).find(|host| host_addr(*host) == addr).unwrap();
        HostClient::new(&self.0, host)
    }
}

impl Directory for World {
    async fn routing(
        &self,
        _after: Option<Cursor>,
        _wait: Duration,
    ) -> Result<Changes<RoutingChange>, DirectoryError> {
        Ok(changes(vec![RoutingChange::Written(Box::new(routing(EXPERTS, 6)))]))
    }

    async fn upstreams(
        &self,
        _after: Option<Cursor>,
        _wait: Duration,
    ) -> Result<Changes<ListChange>, DirectoryError> {
        let listed = |host: &usize| ListChange::Listed(listed(&host_id(*host), host_addr(*host)));
        Ok(changes(self.listing.lock().unwrap().iter().map(listed).collect()))
    }

    async fn rows(
        &self,
        _after: Option<Cursor>,
        _wait: Duration,
    ) -> Result<Changes<RowChange>, DirectoryError> {
        Ok(changes(Vec::new()))
    }
}

impl Table for World {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.platform.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.platform.scan(prefix).await
    }

    async fn commit(&self, txn: &Txn) -> Result<u64, TableError> {
        self.platform.commit(txn).await
    }
}
