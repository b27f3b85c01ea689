use std::sync::Arc;
use std::time::Duration;

use ebonyusher::admin::{AdminClient, ClientError};
use ebonyusher::entry::{EntryNode, PowerOfTwoChoices};
use ebonyusher::metrics::Event;
use ebonyusher::settings::Team;
use ebonyusher::sidecar::SidecarNode;
use ebonyusher::units::Span;
use ebonyusher_standin::{Engine, EngineOptions, Fleet, FleetError, PlainService, UpstreamNode};
use tokio::time::{Instant, sleep};

use super::SlopesError;
use super::accounting::thread_micros;
use crate::load::Hosted;
use crate::load::settings::{CHAT, LEDGER, TEAM, team};

/// Names of the threads whose time is counted.
pub(super) const ENTRY: &str = "slope-entry";
pub(super) const SIDECAR: &str = "slope-sidecar";
const OPERATOR_KEY: &str = "load-operator-key";
const PLAIN_WORK: Duration = Duration::from_millis(1);
const PAUSE: Duration = Duration::from_millis(10);
/// As in production.
const ENTRY_POLL: Span = Span::from_millis(1_000);
const SIDECAR_POLL: Span = Span::from_millis(15_000);
const REPORT: Span = Span::from_millis(2_000);
const SUBSET: usize = 64;

/// Nodes on threads of their own, with production's intervals.
pub(super) struct Rig {
    pub(super) fleet: Arc<Fleet>,
    pub(super) entries: Vec<Hosted<EntryNode>>,
    pub(super) sidecars: Vec<Hosted<SidecarNode>>,
    pub(super) plains: Vec<UpstreamNode<PlainService>>,
    pub(super) engines: Vec<UpstreamNode<Engine>>,
    version: u64,
}

/// Processor time and control traffic of all entries and all sidecars over a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Microseconds a second.
    pub(super) entry_cpu: f64,
    pub(super) sidecar_cpu: f64,
    /// Bytes a second.
    pub(super) entry_bytes: f64,
    pub(super) sidecar_bytes: f64,
    /// Reads and writes of the table a second.
    pub(super) reads: f64,
    pub(super) writes: f64,
}

impl Rig {
    /// Starts so many nodes with settings for so many accounts.
    pub(super) async fn start(
        entries: usize,
        plains: usize,
        engines: usize,
        accounts: usize,
    ) -> Result<Self, SlopesError> {
        let mut fleet = Fleet::start().await?;
        (fleet.poll, fleet.report) = (ENTRY_POLL, REPORT);
        let mut rig = Self {
            fleet: Arc::new(fleet),
            entries: Vec::new(),
            sidecars: Vec::new(),
            plains: Vec::new(),
            engines: Vec::new(),
            version: 0,
        };
        for at in 0..plains {
            let plain = rig.fleet.plain(PLAIN_WORK).await?;
            rig.add_sidecar(&format!("{LEDGER}-{at}"), LEDGER, plain.addr()).await?;
            rig.plains.push(plain);
        }
        for at in 0..engines {
            let slots = SLOTS;
            let engine = rig.fleet.engine(EngineOptions { slots, ..Default::default() }).await?;
            rig.add_sidecar(&format!("{CHAT}-{at}"), CHAT, engine.addr()).await?;
            rig.engines.push(engine);
        }
        for at in 0..entries {
            let mut file = rig.fleet.entry_file(&format!("entry-{at}"), &[TEAM]);
            file.subset = SUBSET;
            let fleet = Arc::clone(&rig.fleet);
            let start = async move { fleet.entry(file, PowerOfTwoChoices).await };
            rig.entries.push(Hosted::start(ENTRY, start).await?);
        }
        rig.change(accounts).await?;
        rig.wait_links().await;
        Ok(rig)
    }

    async fn add_sidecar(
        &mut self,
        name: &str,
        service: &str,
        upstream: std::net::SocketAddr,
    ) -> Result<(), FleetError> {
        let mut file = self.fleet.sidecar_file(name, &format!("{TEAM}/{service}"), upstream);
        (file.poll, file.report) = (SIDECAR_POLL, REPORT);
        let fleet = Arc::clone(&self.fleet);
        let start = async move { fleet.sidecar(file).await };
        self.sidecars.push(Hosted::start(SIDECAR, start).await?);
        Ok(())
    }

    pub(super) fn entry_nodes(&self) -> impl Iterator<Item = &EntryNode> {
        self.entries.iter().filter_map(|entry| entry.node.as_ref())
    }

    pub(super) fn sidecar_nodes(&self) -> impl Iterator<Item = &SidecarNode> {
        self.sidecars.iter().filter_map(|sidecar| sidecar.node.as_ref())
    }

    /// Changes the settings, waits until they are in force everywhere, and tells how long it took.
    pub(super) async fn change(&mut self, accounts: usize) -> Result<Duration, SlopesError> {
        let mut settings: Team = team(accounts);
        if let Some(service) = settings.services.get_mut(CHAT) {
            service.slots = SLOTS as u32;
            service.retry_share = 0.1 + (self.version % 2) as f64 * 1e-3;
        }
        let admin = self.entry_nodes().next().map(|node| node.admin_addr());
        let admin = admin.ok_or(SlopesError::NoEntry)?;
        let client = AdminClient::new(admin, OPERATOR_KEY);
        let accepted: Result<_, ClientError> = client.replace(TEAM, &settings, self.version).await;
        let accepted = accepted?;
        self.version = accepted.version;
        let began = Instant::now();
        while !self.is_in_force(accepted.revision) {
            sleep(PAUSE).await;
        }
        Ok(began.elapsed())
    }

    fn is_in_force(&self, revision: u64) -> bool {
        let entries = self.entry_nodes().map(|node| node.current().get().revision);
        let sidecars = self.sidecar_nodes().map(|node| node.current().get().revision);
        entries.chain(sidecars).all(|present| present >= revision)
    }

    async fn wait_links(&self) {
        let linked = |entry: &EntryNode| {
            entry.members().all().iter().filter(|member| member.is_candidate()).count()
        };
        while !self.entry_nodes().all(|entry| linked(entry) == self.sidecars.len()) {
            sleep(PAUSE).await;
        }
    }

    /// What all nodes use while something goes on.
    pub(super) async fn usage(&self, during: impl Future<Output = ()>) -> Usage {
        let before = self.totals();
        let began = Instant::now();
        during.await;
        let seconds = began.elapsed().as_secs_f64();
        let after = self.totals();
        let rate = |of: fn(&Usage) -> f64| (of(&after) - of(&before)) / seconds;
        Usage {
            entry_cpu: rate(|usage| usage.entry_cpu),
            sidecar_cpu: rate(|usage| usage.sidecar_cpu),
            entry_bytes: rate(|usage| usage.entry_bytes),
            sidecar_bytes: rate(|usage| usage.sidecar_bytes),
            reads: rate(|usage| usage.reads),
            writes: rate(|usage| usage.writes),
        }
    }

    fn totals(&self) -> Usage {
        let (reads, writes) = self.fleet.platform.platform.call_counts();
        let entry_bytes: u64 =
            self.entry_nodes().map(|node| node.meter().get(Event::ControlBytes)).sum();
        let sidecar_bytes: u64 =
            self.sidecar_nodes().map(|node| node.meter().get(Event::ControlBytes)).sum();
        Usage {
            entry_cpu: thread_micros(ENTRY),
            sidecar_cpu: thread_micros(SIDECAR),
            entry_bytes: entry_bytes as f64,
            sidecar_bytes: sidecar_bytes as f64,
            reads: reads as f64,
            writes: writes as f64,
        }
    }
}

/// Slots of an engine: enough that no stream waits.
const SLOTS: usize = 4_000;
