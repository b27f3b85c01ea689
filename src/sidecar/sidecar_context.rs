use std::sync::Arc;

use jsonrpsee::RpcModule;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::cache_watch::CacheWatch;
use super::claims::Claims;
use super::group_member::GroupMember;
use super::link_server::{LinkServer, Links};
use super::loader::Loader;
use super::signals::Signals;
use super::{Queue, SidecarHandler, Upstream};
use crate::memory::MemoryBudget;
use crate::metrics::Meter;
use crate::net::h1_client;
use crate::peer::{HintSender, LinkRpcServer, SettingsFollower, SettingsRpcServer, SettingsServer};
use crate::platform::{InstanceList, ObjectStore, Table};
use crate::settings::{CurrentSettings, SettingsPublisher, SidecarFile};
use crate::switch::GroupRpcServer;

/// State that the components of a sidecar share, and the construction of these components.
pub(super) struct SidecarContext<P> {
    /// Contents of the configuration file.
    pub(super) file: SidecarFile,
    pub(super) platform: Arc<P>,
    pub(super) current: CurrentSettings,
    pub(super) signals: Signals,
    pub(super) queue: Arc<Queue>,
    pub(super) meter: Arc<Meter>,
    pub(super) links: Links,
    /// Tasks that a graceful shutdown waits for.
    pub(super) tasks: TaskTracker,
    /// Ends the background tasks started by [`SidecarContext::spawn`].
    pub(super) background_stop: CancellationToken,
}

impl<P: Table + ObjectStore + InstanceList> SidecarContext<P> {
    pub(super) fn follower(
        &self,
        publisher: SettingsPublisher,
    ) -> (HintSender, SettingsFollower<P>) {
        SettingsFollower::new(
            Arc::clone(&self.platform),
            publisher,
            self.file.seeds.clone(),
            self.file.link_key.clone(),
            self.file.poll.get(),
            Arc::clone(&self.meter),
        )
    }

    pub(super) fn loader(&self) -> Loader<P> {
        Loader {
            platform: Arc::clone(&self.platform),
            engine: self.file.upstream,
            service: self.file.service.clone(),
            name: self.file.name.clone(),
            current: self.current.clone(),
            signals: self.signals.clone(),
            queue: Arc::clone(&self.queue),
            client: h1_client(),
        }
    }

    pub(super) fn cache_watch(&self) -> CacheWatch {
        let (current, signals) = (self.current.clone(), self.signals.clone());
        CacheWatch::new(self.file.upstream, &self.file.service, current, signals)
    }

    pub(super) fn settings_server(&self) -> SettingsServer {
        SettingsServer::new(self.current.clone(), self.file.link_key.clone())
    }

    pub(super) fn group_member(&self) -> GroupMember<P> {
        GroupMember::new(
            Arc::clone(&self.platform),
            &self.file,
            self.signals.incarnation,
            self.current.clone(),
            Arc::clone(&self.meter),
        )
    }

    /// Builds the RPC methods of the sidecar.
    pub(super) fn methods(&self, hints: HintSender, member: &GroupMember<P>) -> RpcModule<()> {
        let link_server = LinkServer {
            service: self.file.service.clone(),
            settings_server: self.settings_server(),
            signals: self.signals.clone(),
            queue: Arc::clone(&self.queue),
            current: self.current.clone(),
            hints,
            report_interval: self.file.report.get(),
            meter: Arc::clone(&self.meter),
            links: self.links.clone(),
        };
        let rank = member.rank_server(self.settings_server());
        let mut methods = RpcModule::new(());
        let merged = methods
            .merge(SettingsRpcServer::into_rpc(self.settings_server()))
            .and_then(|()| methods.merge(LinkRpcServer::into_rpc(link_server)))
            .and_then(|()| methods.merge(GroupRpcServer::into_rpc(rank)));
        merged.expect("methods have distinct names");
        methods
    }

    pub(super) fn handler(&self, upstream: Upstream, memory: MemoryBudget) -> SidecarHandler<P> {
        let claims = Claims::new(
            Arc::clone(&self.platform),
            self.signals.incarnation,
            Arc::clone(&self.meter),
            self.tasks.clone(),
        );
        SidecarHandler {
            service: self.file.service.clone(),
            link_key: self.file.link_key.clone(),
            current: self.current.clone(),
            queue: Arc::clone(&self.queue),
            claims: Arc::new(claims),
            upstream,
            signals: self.signals.clone(),
            memory,
            meter: Arc::clone(&self.meter),
            tasks: self.tasks.clone(),
            suspect_slot: Arc::new(Semaphore::new(1)),
        }
    }

    /// Runs a background task until it ends or the sidecar stops.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.background_stop.clone().run_until_cancelled_owned(task));
    }
}
