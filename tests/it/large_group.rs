//! A group of 129 ranks with the sidecars beside them: one leads, its maps take effect, and another
//! one takes over when it is lost.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonyusher::cli::Node;
use ebonyusher::direct::{
    Changes, Cursor, Directory, DirectoryError, Engine, Experts, Limits, ListChange,
    ListedUpstream, Routing, RoutingChange, RowChange, Service,
};
use ebonyusher::event_log::{EventLog, Level};
use ebonyusher::platform::{Row, Table, TableError, Txn};
use ebonyusher::remap::{
    GroupMap, HeldExperts, RankClient, RankCommand, RankConnector, RankCounts, RankError, RankNode,
    RankOrder, RankState, SharedMap,
};
use ebonyusher::settings::{Machine, RankFile, RebalanceSettings};
use ebonyusher_standin::{MemPlatform, RankGroupStandin};
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

const RANKS: usize = 129;
const EXPERTS: usize = 258;
pub(super) const SETS: usize = 2;
const PASS_TIME: Duration = Duration::from_millis(100);
/// Passes after which other experts are in demand.
const PASSES_PER_SHIFT: u64 = 25;
/// Max wait for something that must happen.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The ranks, and the maps that they were told to prepare.
#[derive(Debug)]
struct Group {
    ranks: RankGroupStandin,
    maps: Mutex<HashMap<u64, SharedMap>>,
}

impl Group {
    fn start() -> Arc<Self> {
        let ranks = RankGroupStandin::new(RANKS);
        ranks.run_passes(PASS_TIME);
        let new = GroupMap::in_turn(SETS, RANKS, EXPERTS).into();
        Arc::new(Self { ranks, maps: Mutex::new(HashMap::from([(0, new)])) })
    }

    fn map_in_force(&self) -> u64 {
        self.ranks.state(RANKS - 1, Duration::ZERO).map
    }

    /// Returns how often each expert was chosen: four of a set get most of the demand.
    fn counts(&self) -> Vec<u64> {
        let count = |expert: u64| -> u64 {
            let is_hot = |pass: u64| (expert + 4 * (pass / PASSES_PER_SHIFT)).is_multiple_of(64);
            (0..self.ranks.pass()).map(|pass| if is_hot(pass) { 400 } else { 10 }).sum()
        };
        (0..SETS).flat_map(|_| (0..EXPERTS as u64).map(count)).collect()
    }
}

/// A client of one rank of a [`Group`].
#[derive(Debug)]
struct Client {
    group: Arc<Group>,
    rank: usize,
}

impl RankClient for Client {
    async fn state(&self) -> Result<RankState, RankError> {
        Ok(self.group.ranks.state(self.rank, Duration::ZERO))
    }

    async fn counts(&self) -> Result<RankCounts, RankError> {
        Ok(RankCounts { epoch: 1, counts: self.group.counts() })
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        let maps = self.group.maps.lock().unwrap();
        let map = &maps[&self.group.ranks.state(self.rank, Duration::ZERO).map];
        Ok(map.sets.iter().map(|ranks| ranks[self.rank].clone()).collect())
    }

    async fn command(&self, command: &RankCommand) -> Result<(), RankError> {
        self.group.ranks.apply(self.rank, command)?;
        if let RankOrder::Prepare { version, map } = &command.order {
            let known = self.group.maps.lock().unwrap().insert(*version, map.clone());
            assert!(known.is_none_or(|known| known == *map), "two maps of version {version}");
        }
        Ok(())
    }
}

/// Makes clients of the ranks, which are told apart by the addresses of their hosts.
#[derive(Debug)]
struct Connector(Arc<Group>);

impl RankConnector for Connector {
    type Client = Client;

    fn client(&self, addr: SocketAddr) -> Client {
        Client { group: Arc::clone(&self.0), rank: rank_at(addr) }
    }
}

fn rank_addr(rank: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(127, 9, 1, u8::try_from(rank + 1).unwrap());
    SocketAddr::new(IpAddr::V4(ip), 7_000)
}

fn rank_at(addr: SocketAddr) -> usize {
    (0..RANKS).find(|rank| rank_addr(*rank) == addr).unwrap()
}

/// The store, and the settings and upstreams of a service with one group.
#[derive(Debug)]
struct Platform(MemPlatform);

impl Platform {
    async fn term(&self) -> Option<Value> {
        let row = self.0.get("term/desk").await.unwrap()?;
        Some(row.read().unwrap())
    }
}

pub(super) fn changes<T>(items: Vec<T>) -> Changes<T> {
    Changes { items, cursor: Cursor { era: 0, version: 1 } }
}

/// Returns the settings of a service whose groups have this number of experts and places.
pub(super) fn routing(count: usize, places: usize) -> Routing {
    let experts = Experts {
        sets: SETS,
        count,
        places,
        spare: 1,
        share: 0.8,
        form_time: Duration::from_secs(2),
    };
    let engine = Engine {
        slots: 6,
        step: Duration::from_millis(6),
        per_request: Duration::from_micros(350),
        stride: 8,
        read_per_s: 61_200.0,
        experts: Some(experts),
    };
    let service =
        Service { name: "desk".to_owned(), max_connections: 100, engine: Some(engine), cold: None };
    let limits = Limits {
        head_bytes: 16_384,
        body_bytes: 1_000,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    Routing::new(1, limits, [], [service], None)
}

pub(super) fn listed(id: &str, addr: SocketAddr) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        service: "desk".to_owned(),
        addr,
        domain: "osu".to_owned(),
        draining: false,
        started_at_ms: Some(1),
        cold: Duration::ZERO,
    }
}

impl Directory for Platform {
    async fn routing(
        &self,
        _after: Option<Cursor>,
        _wait: Duration,
    ) -> Result<Changes<RoutingChange>, DirectoryError> {
        Ok(changes(vec![RoutingChange::Written(Box::new(routing(EXPERTS, 3)))]))
    }

    async fn upstreams(
        &self,
        _after: Option<Cursor>,
        _wait: Duration,
    ) -> Result<Changes<ListChange>, DirectoryError> {
        let listed = |rank| ListChange::Listed(listed(&format!("u-{rank}"), rank_addr(rank)));
        Ok(changes((0..RANKS).map(listed).collect()))
    }

    async fn rows(
        &self,
        _after: Option<Cursor>,
        _wait: Duration,
    ) -> Result<Changes<RowChange>, DirectoryError> {
        Ok(changes(Vec::new()))
    }
}

impl Table for Platform {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.0.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.0.scan(prefix).await
    }

    async fn commit(&self, txn: &Txn) -> Result<u64, TableError> {
        self.0.commit(txn).await
    }
}

/// Returns a port that is free on the first host.
fn free_port() -> u16 {
    let listener = TcpListener::bind(SocketAddr::new(rank_addr(0).ip(), 0)).expect("binds");
    listener.local_addr().expect("an address").port()
}

/// Starts the sidecar beside a rank. All sidecars listen on one port.
async fn start_sidecar(
    rank: usize,
    port: u16,
    group: &Arc<Group>,
    platform: &Arc<Platform>,
) -> RankNode {
    let addr = rank_addr(rank);
    let file = RankFile {
        name: format!("sidecar-{rank}"),
        peer: SocketAddr::new(addr.ip(), port),
        platform: addr,
        rank: addr,
        service: "desk".to_owned(),
        machine: Machine::NODE,
        rebalance: RebalanceSettings::default(),
    };
    let log = EventLog::start(&file.name, Level::Error, std::io::sink());
    let connector = Arc::new(Connector(Arc::clone(group)));
    RankNode::start(&file, Arc::clone(platform), connector, log).await.expect("starts")
}

pub(super) async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < MAX_WAIT, "{what}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn one_of_129_sidecars_leads_and_another_takes_over_when_it_is_lost() {
    let (group, platform) = (Group::start(), Arc::new(Platform(MemPlatform::new())));
    let port = free_port();
    let mut nodes = Vec::new();
    for rank in 0..RANKS {
        nodes.push(Some(start_sidecar(rank, port, &group, &platform).await));
    }
    until("three maps", async || group.map_in_force() >= 3).await;
    let led = platform.term().await.expect("a term");
    assert_eq!(led["term"], 1, "one sidecar has claimed the term");

    let leader = led["switcher"].as_u64().expect("the leader's rank") as usize;
    let lost = nodes[leader].take().expect("a sidecar");
    timeout(MAX_WAIT, lost.close()).await.expect("closes");
    let before = group.map_in_force();
    until("another leader", async || {
        platform.term().await.is_some_and(|term| term["switcher"] != led["switcher"])
    })
    .await;
    until("a map of the next leader", async || group.map_in_force() > before).await;

    let term = platform.term().await.expect("a term");
    assert_eq!(term["term"], 2, "one sidecar has claimed the next term");
    assert_eq!(group.ranks.split_passes(), Vec::<u64>::new());
}
