use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use ebonyusher::entry::EntryNode;
use ebonyusher::sidecar::SidecarNode;
use ebonyusher_standin::Faults;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::Fault;
use super::forwarder::PathState;
use super::load_cluster::LoadCluster;
use super::settings::account_key;
use crate::client::Caller;

/// Duration of a fault that ends during the run.
const FAULT_DURATION: Duration = Duration::from_secs(3);
/// Time that the balancer takes to stop sending to a dead entry.
const DEAD_ENTRY_DETECTION: Duration = Duration::from_millis(500);
/// Time that the balancer takes to stop sending to an entry that is no longer ready.
const NOT_READY_DETECTION: Duration = Duration::from_millis(100);
/// Delay of the table's answers during [`Fault::StoreSlow`].
const STORE_DELAY_MS: u64 = 800;
/// Age of the instance list during [`Fault::ListLag`].
const LIST_LAG_MS: u64 = 5_000;
/// Delay of bytes on the path during [`Fault::LateAnswers`].
const ANSWER_DELAY: Duration = Duration::from_millis(700);
/// Extra time per token during [`Fault::Stall`].
const STALL_PER_TOKEN: Duration = Duration::from_millis(400);
const POISON_ATTEMPTS: usize = 12;
const POISON_INTERVAL: Duration = Duration::from_millis(400);
/// Request body that crashes every engine that runs it.
const POISON: &[u8] = br#"{"stream":true,"max_tokens":8,"messages":"poison"}"#;

/// Model of the external load balancer in front of the entries.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<RwLock<Vec<SocketAddr>>>);

impl Balancer {
    /// Returns a balancer in front of the given entries.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(entries)))
    }

    /// Returns the entries that are currently in rotation.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Removes an entry after the time that the balancer takes to notice.
    fn remove_after(&self, addr: SocketAddr, delay: Duration) {
        let entries = Arc::clone(&self.0);
        tokio::spawn(async move {
            sleep(delay).await;
            entries.write().unwrap_or_else(PoisonError::into_inner).retain(|known| *known != addr);
        });
    }
}

/// Begins and ends faults on the cluster.
#[derive(Debug)]
pub struct FaultInjector {
    /// Cluster under load.
    pub cluster: LoadCluster,
    /// Load balancer in front of the entries.
    pub balancer: Balancer,
    /// Background tasks of faults: graceful shutdowns and repeated requests.
    pub tasks: JoinSet<()>,
    /// Index of the engine that left, and when the platform marked it as leaving.
    pub left_upstream: Option<(usize, Instant)>,
}

impl FaultInjector {
    /// Begins a fault. Returns the time after which [`FaultInjector::end`] has to be called, `None`
    /// if the fault needs no end.
    pub fn begin(&mut self, fault: Fault) -> Option<Duration> {
        let cluster = &mut self.cluster;
        match fault {
            Fault::UpstreamCrash => cluster.engines[0].handler.crash(),
            Fault::LedgerCrash => cluster.plain_services[0].handler.crash(),
            Fault::SidecarCrash => cluster.sidecars[1].isolated.kill(),
            Fault::EntryCrash => self.kill_entry(),
            Fault::UpstreamLeave => self.leave_upstream(),
            Fault::EntryLeave => self.leave_entry(),
            Fault::Stall => cluster.engines[2].handler.set_stall(STALL_PER_TOKEN),
            Fault::Poison => self.send_poison(),
            Fault::Partition => self.set_path_state(0, PathState::Cut),
            Fault::LateAnswers => self.set_path_state(1, PathState::Delayed(ANSWER_DELAY)),
            Fault::DomainLoss => self.lose_domain(),
            Fault::StoreDown | Fault::StoreSlow | Fault::StoreLostAnswer | Fault::ListLag => {
                self.set_platform_fault(fault, true);
            }
        }
        let ends = matches!(
            fault,
            Fault::Stall
                | Fault::Partition
                | Fault::LateAnswers
                | Fault::StoreDown
                | Fault::StoreSlow
                | Fault::StoreLostAnswer
        );
        ends.then_some(FAULT_DURATION)
    }

    /// Ends a fault that [`FaultInjector::begin`] returned a duration for.
    pub fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Stall => self.cluster.engines[2].handler.set_stall(Duration::ZERO),
            Fault::Partition => self.set_path_state(0, PathState::Open),
            Fault::LateAnswers => self.set_path_state(1, PathState::Open),
            _ => self.set_platform_fault(fault, false),
        }
    }

    fn set_platform_fault(&self, fault: Fault, active: bool) {
        let platform = &self.cluster.fleet.platform.platform;
        let mut faults: Faults = platform.faults();
        match fault {
            Fault::StoreDown => faults.down = active,
            Fault::StoreSlow => faults.slow_ms = if active { STORE_DELAY_MS } else { 0 },
            Fault::StoreLostAnswer => faults.lost_answers = if active { 0.5 } else { 0.0 },
            Fault::ListLag => faults.list_lag_ms = if active { LIST_LAG_MS } else { 0 },
            _ => {}
        }
        platform.set_faults(faults);
    }

    fn set_path_state(&self, index: usize, state: PathState) {
        self.cluster.sidecars[index].forwarders.iter().for_each(|forwarder| forwarder.set(state));
    }

    fn kill_entry(&mut self) {
        let Some(entry) = self.cluster.entries.last_mut() else {
            return;
        };
        if let Some(node) = &entry.node {
            self.balancer.remove_after(node.data_addr(), DEAD_ENTRY_DETECTION);
        }
        entry.kill();
    }

    fn leave_entry(&mut self) {
        let Some(mut entry) = self.cluster.entries.pop() else {
            return;
        };
        if let Some(node) = &entry.node {
            self.balancer.remove_after(node.data_addr(), NOT_READY_DETECTION);
        }
        self.tasks.spawn(async move { entry.close(EntryNode::close).await });
    }

    fn leave_upstream(&mut self) {
        const LEAVING: usize = 3;
        let mut sidecar = self.cluster.sidecars.remove(LEAVING);
        self.cluster.fleet.platform.platform.mark_leaving(&sidecar.name);
        self.left_upstream = Some((LEAVING, Instant::now()));
        self.tasks.spawn(async move { sidecar.isolated.close(SidecarNode::close).await });
    }

    fn lose_domain(&mut self) {
        for sidecar in self.cluster.sidecars.iter_mut().skip(1).step_by(3) {
            sidecar.isolated.kill();
        }
    }

    /// Repeatedly sends the request that crashes engines, as a caller that does not give up.
    fn send_poison(&mut self) {
        let entries = self.balancer.entries();
        self.tasks.spawn(async move {
            let caller = Caller::new(&account_key(0));
            for attempt in 0..POISON_ATTEMPTS {
                let to = entries[attempt % entries.len()];
                let body = bytes::Bytes::from_static(POISON);
                caller.send(to, Method::POST, "/chat", None, body).await.ok();
                sleep(POISON_INTERVAL).await;
            }
        });
    }
}
