use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::admin::AdminClient;
use ebonyusher::platform::{Instance, Phase};
use ebonyusher::settings::{Account, KeyDigest, Kind, Priority, Repeat, Route, Service, Team};
use ebonyusher::units::{Size, Span};
use ebonyusher_bench::client::Caller;
use ebonyusher_standin::{Behavior, CrowdRequest, Fleet, LINK_KEY, PlainService, UpstreamNode};
use http::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{sleep, timeout};

use crate::program::Program;

/// Held by the test that runs: crowds of two tests would add up.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

const TEAM: &str = "club";
pub const CALLER_KEY: &str = "caller-key";
/// Maximum size of a body in the settings.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Time after which a process that doesn't answer a request counts as hung.
const HANG_TIME: Duration = Duration::from_secs(40);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A real entry and a real sidecar before a stand-in of a plain service.
pub struct Cluster {
    pub entry: Program,
    pub entry_addr: SocketAddr,
    pub admin_addr: SocketAddr,
    pub sidecar: Program,
    pub sidecar_addr: SocketAddr,
    _fleet: Fleet,
    _upstream: UpstreamNode<PlainService>,
    _turn: MutexGuard<'static, ()>,
}

/// Returns an address that nothing listens on.
async fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    listener.local_addr().expect("an address")
}

fn team() -> Team {
    let service = Service {
        kind: Kind::Plain,
        slots: 8,
        deadline: Span::from_millis(30_000),
        queue_wait: None,
        max_body: Size::from_bytes(MAX_BODY_BYTES as u64),
        resume: false,
        hedge: false,
        retry_share: 0.1,
        group: None,
        models: None,
    };
    let route = Route {
        host: None,
        path: "/ledger".to_owned(),
        methods: vec!["POST".to_owned()],
        service: "ledger".to_owned(),
        repeat: Repeat::Free,
    };
    let account = Account {
        keys: vec![KeyDigest::of(CALLER_KEY)],
        weight: 1.0,
        rate: None,
        in_flight: None,
        priority: Priority::Normal,
    };
    Team {
        services: BTreeMap::from([("ledger".to_owned(), service)]),
        routes: vec![route],
        accounts: BTreeMap::from([("osu".to_owned(), account)]),
    }
}

impl Cluster {
    /// Starts the processes, and waits until an ordinary request is answered.
    pub async fn start() -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let fleet = Fleet::start().await.expect("a fleet");
        let upstream = fleet.plain(Duration::from_millis(2)).await.expect("an upstream");
        let mut file = fleet.sidecar_file("ledger-0", "club/ledger", upstream.addr());
        (file.listen, file.peer) = (free_addr().await, free_addr().await);
        let (sidecar_addr, peer) = (file.listen, file.peer);
        let sidecar = Program::start(env!("CARGO_BIN_EXE_ebonyusher-sidecar"), &file);
        fleet.platform.platform.add_instance(Instance {
            name: file.name,
            service: file.service,
            domain: file.domain,
            data: sidecar_addr,
            peer,
            phase: Phase::Live,
        });
        let mut file = fleet.entry_file("entry-0", &[TEAM]);
        file.listen = free_addr().await;
        (file.admin, file.peer) = (free_addr().await, free_addr().await);
        let (entry_addr, admin_addr) = (file.listen, file.admin);
        let entry = Program::start(env!("CARGO_BIN_EXE_ebonyusher-entry"), &file);
        let cluster = Self {
            entry,
            entry_addr,
            admin_addr,
            sidecar,
            sidecar_addr,
            _fleet: fleet,
            _upstream: upstream,
            _turn: turn,
        };
        cluster.apply_settings().await;
        cluster.serves(100).await;
        cluster
    }

    async fn apply_settings(&self) {
        let admin = AdminClient::new(self.admin_addr, "club-operator-key");
        let applied = async {
            while admin.replace(TEAM, &team(), 0).await.is_err() {
                sleep(RETRY_INTERVAL).await;
            }
        };
        timeout(HANG_TIME, applied).await.expect("the settings are accepted");
    }

    /// Sends an ordinary request with a body of this size, again until it is answered.
    pub async fn serves(&self, bytes: usize) {
        let body = Bytes::from(vec![b'x'; bytes]);
        let served = async {
            loop {
                let caller = Caller::new(CALLER_KEY);
                let sent =
                    caller.send(self.entry_addr, Method::POST, "/ledger", None, body.clone());
                if sent.await.is_ok_and(|reply| reply.status == StatusCode::OK) {
                    return;
                }
                sleep(RETRY_INTERVAL).await;
            }
        };
        timeout(HANG_TIME, served).await.expect("an ordinary request is answered");
    }
}

/// Returns a request of a crowd at the entry.
pub fn entry_request(behavior: Behavior) -> CrowdRequest {
    let head =
        format!("POST /ledger HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {CALLER_KEY}\r\n");
    CrowdRequest { head, behavior }
}

/// Returns a request of a crowd at the sidecar, as an entry would send it.
pub fn sidecar_request(behavior: Behavior) -> CrowdRequest {
    let head = format!(
        "POST /ledger HTTP/1.1\r\nhost: s\r\nebonyusher-link-key: {LINK_KEY}\r\n\
         ebonyusher-attempt: 0123456789abcdef\r\n\
         ebonyusher-account: club/osu\r\nebonyusher-service: club/ledger\r\n\
         ebonyusher-repeat: free\r\nebonyusher-deadline-ms: 30000\r\nebonyusher-cost: 1\r\n\
         ebonyusher-weight: 1\r\nebonyusher-priority: normal\r\nebonyusher-fingerprint: 1f\r\n"
    );
    CrowdRequest { head, behavior }
}

/// Returns a request of a crowd at the administration API.
pub fn admin_request(behavior: Behavior) -> CrowdRequest {
    let head = "PUT /v1/teams/club/settings HTTP/1.1\r\nhost: a\r\n\
                authorization: Bearer club-operator-key\r\n";
    CrowdRequest { head: head.to_owned(), behavior }
}
