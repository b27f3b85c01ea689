use std::sync::Arc;
use std::time::Duration;

use ebonyusher::entry::{EntryNode, LeastInFlight, PowerOfTwoChoices, RandomChoice, RoundRobin};
use ebonyusher::platform::{Instance, Phase};
use ebonyusher::settings::{EntryFile, SidecarFile};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher_standin::{Engine, EngineOptions, Fleet, FleetError, PlainService, UpstreamNode};
use tokio::time::{Instant, sleep};

use super::forwarder::Forwarder;
use super::isolated_node::IsolatedNode;
use super::settings::{CHAT, CHAT_SLOTS, LEDGER, TEAM};
use super::{LoadOptions, PolicyName};

const MIN_PLAIN_SERVICES: usize = 2;
/// Time that a plain service takes for a request.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(2);
/// Number of engines whose sidecars are reached over network paths that can be cut or delayed.
const FORWARDED_ENGINES: usize = 2;
/// Interval at which a wait checks its condition.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);
/// Failure domains, assigned in turn.
const DOMAINS: [&str; 3] = ["osu", "tema", "madina"];

/// Sidecar of one upstream and the network paths to it.
#[derive(Debug)]
pub struct SidecarInstance {
    /// Name of the instance.
    pub name: String,
    /// The sidecar, on a runtime of its own.
    pub isolated: IsolatedNode<SidecarNode>,
    /// Network paths to its data and peer listeners; empty if they are reached directly.
    pub forwarders: Vec<Forwarder>,
}

/// Cluster under load.
#[derive(Debug)]
pub struct LoadCluster {
    /// Stand-in platform and common options of the nodes.
    pub fleet: Arc<Fleet>,
    /// Model engines.
    pub engines: Vec<UpstreamNode<Engine>>,
    /// Plain services, which keep the ledger.
    pub plain_services: Vec<UpstreamNode<PlainService>>,
    /// Sidecars, first those of the engines.
    pub sidecars: Vec<SidecarInstance>,
    /// Entries.
    pub entries: Vec<IsolatedNode<EntryNode>>,
}

impl LoadCluster {
    /// Starts all nodes.
    ///
    /// # Errors
    /// [`FleetError`] if a node can't start.
    pub async fn start(options: &LoadOptions) -> Result<Self, FleetError> {
        let fleet = Arc::new(Fleet::start().await?);
        let (mut engines, mut plain_services, mut sidecars) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..options.upstreams {
            let slots = CHAT_SLOTS;
            let engine = fleet.engine(EngineOptions { slots, ..Default::default() }).await?;
            let file =
                fleet.sidecar_file(&format!("{CHAT}-{index}"), &service(CHAT), engine.addr());
            let sidecar =
                SidecarInstance::start(&fleet, in_domain(file, index), index < FORWARDED_ENGINES)
                    .await?;
            sidecars.push(sidecar);
            engines.push(engine);
        }
        for index in 0..(options.upstreams / 4).max(MIN_PLAIN_SERVICES) {
            let plain = fleet.plain(PLAIN_SERVICE_TIME).await?;
            let file =
                fleet.sidecar_file(&format!("{LEDGER}-{index}"), &service(LEDGER), plain.addr());
            sidecars.push(SidecarInstance::start(&fleet, in_domain(file, index), false).await?);
            plain_services.push(plain);
        }
        let mut entries = Vec::new();
        for index in 0..options.entries {
            let mut file = fleet.entry_file(&format!("entry-{index}"), &[TEAM]);
            file.domain = DOMAINS[index % DOMAINS.len()].to_owned();
            file.near = DOMAINS
                .iter()
                .filter(|name| **name != file.domain)
                .map(|name| (*name).to_owned())
                .collect();
            entries.push(start_entry(&fleet, file, options.policy).await?);
        }
        Ok(Self { fleet, engines, plain_services, sidecars, entries })
    }

    /// Waits until every live entry can route to every upstream.
    pub async fn wait_links(&self) {
        let all = self.sidecars.len();
        let linked = |entry: &EntryNode| {
            entry.members().all().iter().filter(|member| member.is_candidate()).count()
        };
        while !self.live_entries().all(|entry| linked(entry) == all) {
            sleep(WAIT_INTERVAL).await;
        }
    }

    /// Waits until every live process has applied a revision, and returns how long that took; `None`
    /// after the timeout.
    pub async fn wait_revision(&self, revision: u64, timeout: Duration) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < timeout {
            let entries = self.live_entries().map(|node| node.current().get().revision);
            let sidecars =
                self.sidecars.iter().filter_map(|sidecar| sidecar.isolated.node.as_ref());
            let mut all = entries.chain(sidecars.map(|node| node.current().get().revision));
            if all.all(|applied| applied >= revision) {
                return Some(began.elapsed());
            }
            sleep(WAIT_INTERVAL).await;
        }
        None
    }

    /// Returns the entries that have not left or been killed.
    pub fn live_entries(&self) -> impl Iterator<Item = &EntryNode> {
        self.entries.iter().filter_map(|entry| entry.node.as_ref())
    }
}

impl SidecarInstance {
    async fn start(
        fleet: &Arc<Fleet>,
        file: SidecarFile,
        forwarded: bool,
    ) -> Result<Self, FleetError> {
        let (name, service, domain) =
            (file.name.clone(), file.service.clone(), file.domain.clone());
        let shared = Arc::clone(fleet);
        let isolated =
            IsolatedNode::start("sidecar", async move { shared.sidecar(file).await }).await?;
        let mut forwarders = Vec::new();
        if let Some(node) = isolated.node.as_ref().filter(|_| forwarded) {
            let data = Forwarder::start(node.data_addr()).await?;
            let peer = Forwarder::start(node.peer_addr()).await?;
            let instance = Instance {
                name: name.clone(),
                service,
                domain,
                data: data.addr(),
                peer: peer.addr(),
                phase: Phase::Live,
            };
            fleet.platform.platform.add_instance(instance);
            forwarders = vec![data, peer];
        }
        Ok(Self { name, isolated, forwarders })
    }
}

async fn start_entry(
    fleet: &Arc<Fleet>,
    file: EntryFile,
    policy: PolicyName,
) -> Result<IsolatedNode<EntryNode>, FleetError> {
    let fleet = Arc::clone(fleet);
    IsolatedNode::start("entry", async move {
        match policy {
            PolicyName::PowerOfTwoChoices => fleet.entry(file, PowerOfTwoChoices).await,
            PolicyName::Random => fleet.entry(file, RandomChoice).await,
            PolicyName::RoundRobin => fleet.entry(file, RoundRobin::default()).await,
            PolicyName::LeastInFlight => fleet.entry(file, LeastInFlight).await,
        }
    })
    .await
}

fn service(name: &str) -> String {
    format!("{TEAM}/{name}")
}

fn in_domain(mut file: SidecarFile, index: usize) -> SidecarFile {
    file.domain = DOMAINS[index % DOMAINS.len()].to_owned();
    file
}
