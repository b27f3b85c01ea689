use std::time::Duration;

use ebonyusher::entry::{EntryNode, PowerOfTwoChoices};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher_standin::{Engine, EngineOptions, Fleet, FleetError, PlainService, UpstreamNode};
use tokio::time::{Instant, sleep};

/// Team whose example settings the demo uses.
pub const TEAM: &str = "akwaaba";
const ENGINES: usize = 3;
const PLAIN_SERVICES: usize = 2;
const ENTRIES: usize = 2;
/// Time that a plain service takes for a request.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Interval at which a wait checks its condition.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// Platform, upstreams, sidecars and entries of the demo.
#[derive(Debug)]
pub struct DemoCluster {
    /// Stand-in platform and common options of the nodes.
    pub fleet: Fleet,
    /// Model engines.
    pub engines: Vec<UpstreamNode<Engine>>,
    /// Plain services, which keep the ledger of orders.
    pub plain_services: Vec<UpstreamNode<PlainService>>,
    /// One sidecar for each upstream.
    pub sidecars: Vec<SidecarNode>,
    /// Entries.
    pub entries: Vec<EntryNode>,
}

impl DemoCluster {
    /// Starts everything on loopback.
    ///
    /// # Errors
    /// [`FleetError`] if a node can't start.
    pub async fn start() -> Result<Self, FleetError> {
        let fleet = Fleet::start().await?;
        let (mut engines, mut plain_services) = (Vec::new(), Vec::new());
        let (mut sidecars, mut entries) = (Vec::new(), Vec::new());
        for index in 0..ENGINES {
            let engine = fleet.engine(EngineOptions::default()).await?;
            let name = format!("assistant-pool-{index}");
            let file = fleet.sidecar_file(&name, "akwaaba/assistant-pool", engine.addr());
            sidecars.push(fleet.sidecar(file).await?);
            engines.push(engine);
        }
        for index in 0..PLAIN_SERVICES {
            let plain = fleet.plain(PLAIN_SERVICE_TIME).await?;
            let name = format!("members-ledger-{index}");
            let file = fleet.sidecar_file(&name, "akwaaba/members-ledger", plain.addr());
            sidecars.push(fleet.sidecar(file).await?);
            plain_services.push(plain);
        }
        for index in 0..ENTRIES {
            let file = fleet.entry_file(&format!("entry-{index}"), &[TEAM]);
            entries.push(fleet.entry(file, PowerOfTwoChoices).await?);
        }
        Ok(Self { fleet, engines, plain_services, sidecars, entries })
    }

    /// Waits until every process has applied a revision, and returns how long that took.
    pub async fn wait_revision(&self, revision: u64) -> Duration {
        let began = Instant::now();
        loop {
            let entries = self.entries.iter().map(|node| node.current().get().revision);
            let sidecars = self.sidecars.iter().map(|node| node.current().get().revision);
            if entries.chain(sidecars).all(|applied| applied >= revision) {
                return began.elapsed();
            }
            sleep(WAIT_INTERVAL).await;
        }
    }

    /// Waits until every entry can route to every upstream.
    pub async fn wait_links(&self) {
        let all = self.sidecars.len();
        loop {
            let linked = |entry: &EntryNode| {
                entry.members().all().iter().filter(|member| member.is_candidate()).count()
            };
            if self.entries.iter().all(|entry| linked(entry) == all) {
                return;
            }
            sleep(WAIT_INTERVAL).await;
        }
    }

    /// Returns how often the request with an idempotency key has run, over all plain services.
    pub fn runs(&self, key: &str) -> u32 {
        self.plain_services.iter().map(|plain| plain.handler.run_count(key)).sum()
    }

    /// Shuts everything down gracefully.
    pub async fn close(self) {
        for entry in self.entries {
            entry.close().await;
        }
        for sidecar in self.sidecars {
            sidecar.close().await;
        }
        self.engines.into_iter().for_each(UpstreamNode::close);
        self.plain_services.into_iter().for_each(UpstreamNode::close);
        self.fleet.platform.close();
    }
}
