use std::time::Duration;

use ebonyusher::entry::{EntryNode, PowerOfTwoChoices};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher_standin::{Engine, EngineOptions, Fleet, FleetError, PlainService, UpstreamNode};
use tokio::time::{Instant, sleep};

/// Team whose example settings the demo uses.
pub const TEAM: &str = "akwaaba";
const ENGINES: usize = 3;
const PLAINS: usize = 2;
const ENTRIES: usize = 2;
const PLAIN_WORK: Duration = Duration::from_millis(5);
const PAUSE: Duration = Duration::from_millis(5);

/// Platform, upstreams, sidecars and entries of the demo.
#[derive(Debug)]
pub struct Stage {
    /// The platform.
    pub fleet: Fleet,
    /// Model engines.
    pub engines: Vec<UpstreamNode<Engine>>,
    /// Plain services.
    pub plains: Vec<UpstreamNode<PlainService>>,
    /// One sidecar for each upstream.
    pub sidecars: Vec<SidecarNode>,
    /// Entries.
    pub entries: Vec<EntryNode>,
}

impl Stage {
    /// Starts everything on loopback.
    ///
    /// # Errors
    /// [`FleetError`] if no port can be had.
    pub async fn start() -> Result<Self, FleetError> {
        let fleet = Fleet::start().await?;
        let (mut engines, mut plains) = (Vec::new(), Vec::new());
        let (mut sidecars, mut entries) = (Vec::new(), Vec::new());
        for at in 0..ENGINES {
            let engine = fleet.engine(EngineOptions::default()).await?;
            let name = format!("assistant-pool-{at}");
            let file = fleet.sidecar_file(&name, "akwaaba/assistant-pool", engine.addr());
            sidecars.push(fleet.sidecar(file).await?);
            engines.push(engine);
        }
        for at in 0..PLAINS {
            let plain = fleet.plain(PLAIN_WORK).await?;
            let name = format!("members-ledger-{at}");
            let file = fleet.sidecar_file(&name, "akwaaba/members-ledger", plain.addr());
            sidecars.push(fleet.sidecar(file).await?);
            plains.push(plain);
        }
        for at in 0..ENTRIES {
            let file = fleet.entry_file(&format!("entry-{at}"), &[TEAM]);
            entries.push(fleet.entry(file, PowerOfTwoChoices).await?);
        }
        Ok(Self { fleet, engines, plains, sidecars, entries })
    }

    /// Waits until a revision is in force in every process, and tells how long that took.
    pub async fn wait_revision(&self, revision: u64) -> Duration {
        let began = Instant::now();
        loop {
            let entries = self.entries.iter().map(|node| node.current().get().revision);
            let sidecars = self.sidecars.iter().map(|node| node.current().get().revision);
            if entries.chain(sidecars).all(|present| present >= revision) {
                return began.elapsed();
            }
            sleep(PAUSE).await;
        }
    }

    /// Waits until every entry may send to every upstream.
    pub async fn wait_links(&self) {
        let all = self.sidecars.len();
        loop {
            let linked = |entry: &EntryNode| {
                entry.members().all().iter().filter(|member| member.is_candidate()).count()
            };
            if self.entries.iter().all(|entry| linked(entry) == all) {
                return;
            }
            sleep(PAUSE).await;
        }
    }

    /// How often the request with an idempotency key has run, over all plain services.
    pub fn runs(&self, key: &str) -> u32 {
        self.plains.iter().map(|plain| plain.handler.run_count(key)).sum()
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
        self.plains.into_iter().for_each(UpstreamNode::close);
        self.fleet.platform.close();
    }
}
