use std::sync::Arc;
use std::time::Duration;

use ebonyusher::entry::{EntryNode, LeastInFlight, PowerOfTwoChoices, RandomChoice, RoundRobin};
use ebonyusher::platform::{Instance, Phase};
use ebonyusher::settings::{EntryFile, SidecarFile};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher_standin::{Engine, EngineOptions, Fleet, FleetError, PlainService, UpstreamNode};
use tokio::time::{Instant, sleep};

use super::forwarder::Forwarder;
use super::hosted::Hosted;
use super::settings::{CHAT, CHAT_SLOTS, LEDGER, TEAM};
use super::{LoadOptions, PolicyName};

const LEAST_PLAINS: usize = 2;
const PLAIN_WORK: Duration = Duration::from_millis(2);
/// Engines whose network paths can be cut or delayed.
const FORWARDED: usize = 2;
const PAUSE: Duration = Duration::from_millis(5);
const DOMAINS: [&str; 3] = ["osu", "tema", "madina"];

/// One upstream with its sidecar and the network paths to it.
#[derive(Debug)]
pub struct Place {
    /// Name of the instance.
    pub name: String,
    /// The sidecar.
    pub sidecar: Hosted<SidecarNode>,
    /// Paths to the data and the peer listener.
    pub paths: Vec<Forwarder>,
}

/// The fleet under load.
#[derive(Debug)]
pub struct Site {
    /// Platform and common settings.
    pub fleet: Arc<Fleet>,
    /// Model engines.
    pub engines: Vec<UpstreamNode<Engine>>,
    /// Plain services.
    pub plains: Vec<UpstreamNode<PlainService>>,
    /// Sidecars, those of the engines first.
    pub places: Vec<Place>,
    /// Entries.
    pub entries: Vec<Hosted<EntryNode>>,
}

impl Site {
    /// Starts everything.
    ///
    /// # Errors
    /// [`FleetError`] if a part can't start.
    pub async fn start(options: &LoadOptions) -> Result<Self, FleetError> {
        let fleet = Arc::new(Fleet::start().await?);
        let (mut engines, mut plains, mut places) = (Vec::new(), Vec::new(), Vec::new());
        for at in 0..options.upstreams {
            let slots = CHAT_SLOTS;
            let engine = fleet.engine(EngineOptions { slots, ..Default::default() }).await?;
            let file = fleet.sidecar_file(&format!("{CHAT}-{at}"), &service(CHAT), engine.addr());
            let place = Place::start(&fleet, in_domain(file, at), at < FORWARDED).await?;
            places.push(place);
            engines.push(engine);
        }
        for at in 0..(options.upstreams / 4).max(LEAST_PLAINS) {
            let plain = fleet.plain(PLAIN_WORK).await?;
            let file =
                fleet.sidecar_file(&format!("{LEDGER}-{at}"), &service(LEDGER), plain.addr());
            places.push(Place::start(&fleet, in_domain(file, at), false).await?);
            plains.push(plain);
        }
        let mut entries = Vec::new();
        for at in 0..options.entries {
            let mut file = fleet.entry_file(&format!("entry-{at}"), &[TEAM]);
            file.domain = DOMAINS[at % DOMAINS.len()].to_owned();
            file.near = DOMAINS
                .iter()
                .filter(|name| **name != file.domain)
                .map(|name| (*name).to_owned())
                .collect();
            entries.push(start_entry(&fleet, file, options.policy).await?);
        }
        Ok(Self { fleet, engines, plains, places, entries })
    }

    /// Waits until every entry may send to every upstream.
    pub async fn wait_links(&self) {
        let all = self.places.len();
        let linked = |entry: &EntryNode| {
            entry.members().all().iter().filter(|member| member.is_candidate()).count()
        };
        while !self.live_entries().all(|entry| linked(entry) == all) {
            sleep(PAUSE).await;
        }
    }

    /// Waits until a revision is in force in every live process, and tells how long that took.
    pub async fn wait_revision(&self, revision: u64, most: Duration) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < most {
            let entries = self.live_entries().map(|node| node.current().get().revision);
            let sidecars = self.places.iter().filter_map(|place| place.sidecar.node.as_ref());
            let mut all = entries.chain(sidecars.map(|node| node.current().get().revision));
            if all.all(|present| present >= revision) {
                return Some(began.elapsed());
            }
            sleep(PAUSE).await;
        }
        None
    }

    /// Entries that have not left or died.
    pub fn live_entries(&self) -> impl Iterator<Item = &EntryNode> {
        self.entries.iter().filter_map(|entry| entry.node.as_ref())
    }
}

impl Place {
    async fn start(
        fleet: &Arc<Fleet>,
        file: SidecarFile,
        forwarded: bool,
    ) -> Result<Self, FleetError> {
        let (name, service, domain) =
            (file.name.clone(), file.service.clone(), file.domain.clone());
        let shared = Arc::clone(fleet);
        let sidecar = Hosted::start("sidecar", async move { shared.sidecar(file).await }).await?;
        let mut paths = Vec::new();
        if let Some(node) = sidecar.node.as_ref().filter(|_| forwarded) {
            let data = Forwarder::start(node.data_addr()).await?;
            let peer = Forwarder::start(node.peer_addr()).await?;
            let inst = Instance {
                name: name.clone(),
                service,
                domain,
                data: data.addr(),
                peer: peer.addr(),
                phase: Phase::Live,
            };
            fleet.platform.platform.add_instance(inst);
            paths = vec![data, peer];
        }
        Ok(Self { name, sidecar, paths })
    }
}

async fn start_entry(
    fleet: &Arc<Fleet>,
    file: EntryFile,
    policy: PolicyName,
) -> Result<Hosted<EntryNode>, FleetError> {
    let fleet = Arc::clone(fleet);
    Hosted::start("entry", async move {
        match policy {
            PolicyName::Weighed => fleet.entry(file, PowerOfTwoChoices).await,
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

fn in_domain(mut file: SidecarFile, at: usize) -> SidecarFile {
    file.domain = DOMAINS[at % DOMAINS.len()].to_owned();
    file
}
