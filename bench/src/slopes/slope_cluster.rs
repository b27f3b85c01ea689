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
use crate::load::IsolatedNode;
use crate::load::settings::{CHAT, LEDGER, TEAM, team};

/// Names of the threads whose CPU time is measured, by role.
pub(super) const ENTRY_THREAD: &str = "slope-entry";
pub(super) const SIDECAR_THREAD: &str = "slope-sidecar";
const OPERATOR_KEY: &str = "load-operator-key";
/// Time that a plain service takes for a request.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Interval at which a wait checks its condition.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);
/// Poll interval of an entry, half of the default; the capacity page scales the reads to
/// the default.
const ENTRY_POLL_INTERVAL: Span = Span::from_millis(1_000);
/// Poll and report intervals of a sidecar, as in production.
const SIDECAR_POLL_INTERVAL: Span = Span::from_millis(15_000);
const REPORT_INTERVAL: Span = Span::from_millis(2_000);
/// Max links of an entry to each service. No measurement has more sidecars, so an entry links to
/// all.
const SUBSET: usize = 64;

/// Cluster whose nodes run on threads of their own.
pub(super) struct SlopeCluster {
    pub(super) fleet: Arc<Fleet>,
    pub(super) entries: Vec<IsolatedNode<EntryNode>>,
    pub(super) sidecars: Vec<IsolatedNode<SidecarNode>>,
    pub(super) plain_services: Vec<UpstreamNode<PlainService>>,
    pub(super) engines: Vec<UpstreamNode<Engine>>,
    version: u64,
}

/// CPU time, control traffic and table accesses of all entries and all sidecars: either totals, or
/// rates calculated from the difference of two totals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// CPU time: a total in microseconds, or microseconds per second.
    pub(super) entry_cpu: f64,
    pub(super) sidecar_cpu: f64,
    /// Control traffic: a total in bytes, or bytes per second.
    pub(super) entry_bytes: f64,
    pub(super) sidecar_bytes: f64,
    /// Reads and writes of the table: totals, or per second.
    pub(super) reads: f64,
    pub(super) writes: f64,
}

impl SlopeCluster {
    /// Starts the given numbers of nodes, with settings for the given number of accounts.
    pub(super) async fn start(
        entries: usize,
        plain_services: usize,
        engines: usize,
        accounts: usize,
    ) -> Result<Self, SlopesError> {
        let mut fleet = Fleet::start().await?;
        (fleet.poll, fleet.report) = (ENTRY_POLL_INTERVAL, REPORT_INTERVAL);
        let mut cluster = Self {
            fleet: Arc::new(fleet),
            entries: Vec::new(),
            sidecars: Vec::new(),
            plain_services: Vec::new(),
            engines: Vec::new(),
            version: 0,
        };
        for index in 0..plain_services {
            let plain = cluster.fleet.plain(PLAIN_SERVICE_TIME).await?;
            cluster.add_sidecar(&format!("{LEDGER}-{index}"), LEDGER, plain.addr()).await?;
            cluster.plain_services.push(plain);
        }
        for index in 0..engines {
            let slots = ENGINE_SLOTS;
            let engine =
                cluster.fleet.engine(EngineOptions { slots, ..Default::default() }).await?;
            cluster.add_sidecar(&format!("{CHAT}-{index}"), CHAT, engine.addr()).await?;
            cluster.engines.push(engine);
        }
        for index in 0..entries {
            let mut file = cluster.fleet.entry_file(&format!("entry-{index}"), &[TEAM]);
            file.subset = SUBSET;
            let fleet = Arc::clone(&cluster.fleet);
            let start = async move { fleet.entry(file, PowerOfTwoChoices).await };
            cluster.entries.push(IsolatedNode::start(ENTRY_THREAD, start).await?);
        }
        cluster.change_settings(accounts).await?;
        cluster.wait_links().await;
        Ok(cluster)
    }

    async fn add_sidecar(
        &mut self,
        name: &str,
        service: &str,
        upstream: std::net::SocketAddr,
    ) -> Result<(), FleetError> {
        let mut file = self.fleet.sidecar_file(name, &format!("{TEAM}/{service}"), upstream);
        (file.poll, file.report) = (SIDECAR_POLL_INTERVAL, REPORT_INTERVAL);
        let fleet = Arc::clone(&self.fleet);
        let start = async move { fleet.sidecar(file).await };
        self.sidecars.push(IsolatedNode::start(SIDECAR_THREAD, start).await?);
        Ok(())
    }

    pub(super) fn entry_nodes(&self) -> impl Iterator<Item = &EntryNode> {
        self.entries.iter().filter_map(|entry| entry.node.as_ref())
    }

    pub(super) fn sidecar_nodes(&self) -> impl Iterator<Item = &SidecarNode> {
        self.sidecars.iter().filter_map(|sidecar| sidecar.node.as_ref())
    }

    /// Changes the settings, waits until all nodes have applied them, and returns how long that took.
    /// The retry share alternates with the version, so that the settings change.
    pub(super) async fn change_settings(
        &mut self,
        accounts: usize,
    ) -> Result<Duration, SlopesError> {
        let mut settings: Team = team(accounts);
        if let Some(service) = settings.services.get_mut(CHAT) {
            service.slots = ENGINE_SLOTS as u32;
            service.retry_share = 0.1 + (self.version % 2) as f64 * 1e-3;
        }
        let admin = self.entry_nodes().next().map(|node| node.admin_addr());
        let admin = admin.ok_or(SlopesError::NoEntry)?;
        let client = AdminClient::new(admin, OPERATOR_KEY);
        let accepted: Result<_, ClientError> = client.replace(TEAM, &settings, self.version).await;
        let accepted = accepted?;
        self.version = accepted.version;
        let began = Instant::now();
        while !self.is_applied(accepted.revision) {
            sleep(WAIT_INTERVAL).await;
        }
        Ok(began.elapsed())
    }

    fn is_applied(&self, revision: u64) -> bool {
        let entries = self.entry_nodes().map(|node| node.current().get().revision);
        let sidecars = self.sidecar_nodes().map(|node| node.current().get().revision);
        entries.chain(sidecars).all(|applied| applied >= revision)
    }

    async fn wait_links(&self) {
        let linked = |entry: &EntryNode| {
            entry.members().all().iter().filter(|member| member.is_candidate()).count()
        };
        while !self.entry_nodes().all(|entry| linked(entry) == self.sidecars.len()) {
            sleep(WAIT_INTERVAL).await;
        }
    }

    /// Returns what all nodes use per second while `during` runs.
    pub(super) async fn measure_usage(&self, during: impl Future<Output = ()>) -> Usage {
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

    /// Returns the current totals of all nodes.
    fn totals(&self) -> Usage {
        let (reads, writes) = self.fleet.platform.platform.call_counts();
        let entry_bytes: u64 =
            self.entry_nodes().map(|node| node.meter().get(Event::ControlBytes)).sum();
        let sidecar_bytes: u64 =
            self.sidecar_nodes().map(|node| node.meter().get(Event::ControlBytes)).sum();
        Usage {
            entry_cpu: thread_micros(ENTRY_THREAD),
            sidecar_cpu: thread_micros(SIDECAR_THREAD),
            entry_bytes: entry_bytes as f64,
            sidecar_bytes: sidecar_bytes as f64,
            reads: reads as f64,
            writes: writes as f64,
        }
    }
}

/// Concurrent requests of an engine: enough that no stream waits.
const ENGINE_SLOTS: usize = 4_000;
