use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use ebonyusher::entry::{EntryNode, Policy};
use ebonyusher::platform::{HttpPlatform, Instance, Phase};
use ebonyusher::settings::{EntryFile, KeyDigest, Machine, Operator, SidecarFile};
use ebonyusher::sidecar::{NodeError, SidecarNode};
use ebonyusher::units::Span;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::{
    CrashTrigger, Crashable, Engine, EngineOptions, PlainService, PlainServiceOptions,
    PlatformNode, UpstreamNode,
};

/// Secret with which the fleet's processes authenticate their links.
pub const LINK_KEY: &str = "fleet-link-key";
/// Grace time of entries and sidecars.
const GRACE: Span = Span::from_millis(10_000);

/// Why a fleet or one of its nodes could not start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum FleetError {
    /// can't listen: {0}
    Listen(#[from] io::Error),
    /// {0}
    Node(#[from] NodeError),
}

/// Runs entries, sidecars and stand-ins on loopback, as tasks of one process.
#[derive(Debug)]
pub struct Fleet {
    /// The platform stand-in.
    pub platform: PlatformNode,
    /// Interval at which entries poll the platform.
    pub poll: Span,
    /// Interval at which sidecars report their state to entries.
    pub report: Span,
    /// Time for which a crashed upstream stays down.
    pub restart: Duration,
}

/// Returns a loopback address with port 0, which binds any free port.
pub const fn loopback() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

impl Fleet {
    /// Starts a fleet that consists of the platform alone.
    ///
    /// # Errors
    /// [`FleetError`] if no listener can be bound.
    pub async fn start() -> Result<Self, FleetError> {
        let platform = PlatformNode::start(loopback(), loopback()).await?;
        Ok(Self {
            platform,
            poll: Span::from_millis(200),
            report: Span::from_millis(500),
            restart: Duration::from_millis(500),
        })
    }

    /// Creates a client of the platform.
    pub fn client(&self) -> Arc<HttpPlatform> {
        Arc::new(HttpPlatform::new(self.platform.addr()))
    }

    /// Starts a model engine.
    ///
    /// # Errors
    /// [`FleetError`] if no listener can be bound.
    pub async fn engine(&self, options: EngineOptions) -> Result<UpstreamNode<Engine>, FleetError> {
        let (crash, crashes) = CrashTrigger::new();
        self.upstream(Engine::new(options, crash), crashes).await
    }

    /// Starts a plain service.
    ///
    /// # Errors
    /// [`FleetError`] if no listener can be bound.
    pub async fn plain(&self, work: Duration) -> Result<UpstreamNode<PlainService>, FleetError> {
        let (crash, crashes) = CrashTrigger::new();
        self.upstream(PlainService::new(PlainServiceOptions { work }, crash), crashes).await
    }

    async fn upstream<H: Crashable>(
        &self,
        handler: H,
        crashes: mpsc::Receiver<()>,
    ) -> Result<UpstreamNode<H>, FleetError> {
        Ok(UpstreamNode::start(loopback(), Arc::new(handler), crashes, self.restart).await?)
    }

    /// Returns the settings file of a sidecar.
    pub fn sidecar_file(&self, name: &str, service: &str, upstream: SocketAddr) -> SidecarFile {
        SidecarFile {
            name: name.to_owned(),
            domain: "osu".to_owned(),
            service: service.to_owned(),
            listen: loopback(),
            peer: loopback(),
            upstream,
            platform: self.platform.addr(),
            seeds: Vec::new(),
            link_key: LINK_KEY.to_owned(),
            poll: Span::from_millis(2_000),
            report: self.report,
            grace: GRACE,
            machine: Machine::NODE,
            statsd: None,
        }
    }

    /// Starts a sidecar and adds it to the platform's list of instances.
    ///
    /// # Errors
    /// [`FleetError`] if no listener can be bound.
    pub async fn sidecar(&self, file: SidecarFile) -> Result<SidecarNode, FleetError> {
        let (name, service, domain) =
            (file.name.clone(), file.service.clone(), file.domain.clone());
        let node = SidecarNode::start(file, self.client()).await?;
        let (data, peer) = (node.data_addr(), node.peer_addr());
        let inst = Instance { name, service, domain, data, peer, phase: Phase::Live };
        self.platform.platform.add_instance(inst);
        Ok(node)
    }

    /// Returns the settings file of an entry. Each team has one operator, whose key is
    /// `TEAM-operator-key`.
    pub fn entry_file(&self, name: &str, teams: &[&str]) -> EntryFile {
        let operators = teams.iter().map(|team| Operator {
            name: format!("{team}-operator"),
            team: (*team).to_owned(),
            key: KeyDigest::of(&format!("{team}-operator-key")),
        });
        EntryFile {
            name: name.to_owned(),
            domain: "osu".to_owned(),
            near: vec!["tema".to_owned(), "madina".to_owned()],
            listen: loopback(),
            admin: loopback(),
            peer: loopback(),
            platform: self.platform.addr(),
            seeds: Vec::new(),
            link_key: LINK_KEY.to_owned(),
            operators: operators.collect(),
            poll: self.poll,
            subset: 6,
            grace: GRACE,
            machine: Machine::NODE,
            statsd: None,
        }
    }

    /// Starts an entry and adds it to the platform's list of instances.
    ///
    /// # Errors
    /// [`FleetError`] if no listener can be bound.
    pub async fn entry<C: Policy>(
        &self,
        file: EntryFile,
        policy: C,
    ) -> Result<EntryNode, FleetError> {
        let (name, domain) = (file.name.clone(), file.domain.clone());
        let node = EntryNode::start(file, self.client(), policy).await?;
        let (data, peer) = (node.data_addr(), node.peer_addr());
        let service = "entry".to_owned();
        let inst = Instance { name, service, domain, data, peer, phase: Phase::Live };
        self.platform.platform.add_instance(inst);
        Ok(node)
    }
}
