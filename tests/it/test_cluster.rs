//! Fixtures: a small cluster on loopback, its settings, and callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::admin::AdminClient;
use ebonyusher::entry::{EntryNode, PowerOfTwoChoices};
use ebonyusher::settings::{Account, KeyDigest, Kind, Priority, Repeat, Route, Service, Team};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher::units::{Size, Span};
use ebonyusher_bench::client::{Caller, Reply};
use ebonyusher_standin::{Engine, EngineOptions, Fleet, PlainService, UpstreamNode};
use http::Method;
use tokio::time::sleep;

pub const TEAM: &str = "akwaaba";
pub const CALLER_KEY: &str = "caller-key";
pub const OPERATOR_KEY: &str = "akwaaba-operator-key";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Entries, sidecars and upstreams that run on a stand-in fleet.
///
/// `sidecars` holds one sidecar for each engine and plain upstream, in the order of their start.
pub struct TestCluster {
    pub fleet: Fleet,
    pub engines: Vec<UpstreamNode<Engine>>,
    pub plain_upstreams: Vec<UpstreamNode<PlainService>>,
    pub sidecars: Vec<SidecarNode>,
    pub entries: Vec<EntryNode>,
}

pub fn service(kind: Kind) -> Service {
    Service {
        kind,
        slots: 8,
        deadline: Span::from_millis(5_000),
        queue_wait: None,
        max_body: Size::from_bytes(64 << 10),
        resume: kind == Kind::Engine,
        hedge: false,
        retry_share: 0.1,
        group: None,
        models: None,
    }
}

pub fn route(path: &str, method: &str, service: &str, repeat: Repeat) -> Route {
    Route {
        host: None,
        path: path.to_owned(),
        methods: vec![method.to_owned()],
        service: service.to_owned(),
        repeat,
    }
}

pub fn account(key: &str) -> Account {
    Account {
        keys: vec![KeyDigest::of(key)],
        weight: 1.0,
        rate: None,
        in_flight: None,
        priority: Priority::Normal,
    }
}

pub fn team() -> Team {
    Team {
        services: BTreeMap::from([
            ("chat".to_owned(), service(Kind::Engine)),
            ("ledger".to_owned(), service(Kind::Plain)),
        ]),
        routes: vec![
            route("/chat", "POST", "chat", Repeat::Free),
            route("/ledger", "GET", "ledger", Repeat::Free),
            route("/ledger/orders", "POST", "ledger", Repeat::Never),
        ],
        accounts: BTreeMap::from([("osu".to_owned(), account(CALLER_KEY))]),
    }
}

impl TestCluster {
    /// Starts the given numbers of engines, plain upstreams and entries. Returns once the settings
    /// of [`team`] are in force everywhere and every entry is linked to every sidecar.
    pub async fn start(engines: usize, plain_upstreams: usize, entries: usize) -> Self {
        let mut cluster = Self {
            fleet: Fleet::start().await.unwrap(),
            engines: Vec::new(),
            plain_upstreams: Vec::new(),
            sidecars: Vec::new(),
            entries: Vec::new(),
        };
        for at in 0..engines {
            cluster.add_engine(&format!("chat-{at}")).await;
        }
        for at in 0..plain_upstreams {
            cluster.add_plain(&format!("ledger-{at}")).await;
        }
        for at in 0..entries {
            let file = cluster.fleet.entry_file(&format!("entry-{at}"), &[TEAM]);
            cluster.entries.push(cluster.fleet.entry(file, PowerOfTwoChoices).await.unwrap());
        }
        let accepted = cluster.admin().replace(TEAM, &team(), 0).await.unwrap();
        cluster.wait_for_revision(accepted.revision).await;
        cluster.wait_for_links().await;
        cluster
    }

    pub async fn add_engine(&mut self, name: &str) {
        let engine = self.fleet.engine(EngineOptions::default()).await.unwrap();
        let file = self.fleet.sidecar_file(name, "akwaaba/chat", engine.addr());
        self.sidecars.push(self.fleet.sidecar(file).await.unwrap());
        self.engines.push(engine);
    }

    pub async fn add_plain(&mut self, name: &str) {
        let plain = self.fleet.plain(Duration::from_millis(2)).await.unwrap();
        let file = self.fleet.sidecar_file(name, "akwaaba/ledger", plain.addr());
        self.sidecars.push(self.fleet.sidecar(file).await.unwrap());
        self.plain_upstreams.push(plain);
    }

    pub fn admin(&self) -> AdminClient {
        AdminClient::new(self.entries[0].admin_addr(), OPERATOR_KEY)
    }

    pub async fn wait_for_revision(&self, revision: u64) {
        let entries = || self.entries.iter().map(|node| node.current().get().revision);
        let sidecars = || self.sidecars.iter().map(|node| node.current().get().revision);
        wait_until(|| entries().chain(sidecars()).all(|current| current >= revision)).await;
    }

    pub async fn wait_for_links(&self) {
        let linked = |entry: &EntryNode| {
            entry.members().all().iter().filter(|member| member.is_candidate()).count()
        };
        wait_until(|| self.entries.iter().all(|entry| linked(entry) == self.sidecars.len())).await;
    }

    /// Number of times that the request with an idempotency key has run, over all plain upstreams.
    pub fn runs(&self, key: &str) -> u32 {
        self.plain_upstreams.iter().map(|plain| plain.handler.run_count(key)).sum()
    }

    /// Starts an entry and a sidecar of the ledger, whose upstream listens at an address.
    pub async fn start_before_ledger(addr: SocketAddr) -> Self {
        let mut cluster = Self {
            fleet: Fleet::start().await.unwrap(),
            engines: Vec::new(),
            plain_upstreams: Vec::new(),
            sidecars: Vec::new(),
            entries: Vec::new(),
        };
        let file = cluster.fleet.sidecar_file("ledger-0", "akwaaba/ledger", addr);
        cluster.sidecars.push(cluster.fleet.sidecar(file).await.unwrap());
        let file = cluster.fleet.entry_file("entry-0", &[TEAM]);
        cluster.entries.push(cluster.fleet.entry(file, PowerOfTwoChoices).await.unwrap());
        let accepted = cluster.admin().replace(TEAM, &team(), 0).await.unwrap();
        cluster.wait_for_revision(accepted.revision).await;
        cluster.wait_for_links().await;
        cluster
    }

    /// Posts an order of the ledger service (not an order to a rank), which runs at most once for
    /// an idempotency key.
    pub async fn post_order(&self, key: &str, body: &'static str) -> Reply {
        let to = self.entries[0].data_addr();
        let body = Bytes::from_static(body.as_bytes());
        let caller = Caller::new(CALLER_KEY);
        caller.send(to, Method::POST, "/ledger/orders", Some(key), body).await.unwrap()
    }

    pub async fn look_up(&self, path: &str) -> Reply {
        let to = self.entries[0].data_addr();
        let caller = Caller::new(CALLER_KEY);
        caller.send(to, Method::GET, path, None, Bytes::new()).await.unwrap()
    }

    pub async fn chat(&self, body: impl Into<Bytes>) -> Reply {
        let (to, body) = (self.entries[0].data_addr(), body.into());
        Caller::new(CALLER_KEY).send(to, Method::POST, "/chat", None, body).await.unwrap()
    }
}

/// Waits until a condition holds, and fails the test if it does not within [`WAIT_TIMEOUT`].
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    let began = tokio::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "the condition did not hold in time");
        sleep(POLL_INTERVAL).await;
    }
}
