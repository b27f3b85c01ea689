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

/// How long a fault that ends by itself lasts.
const FAULT_DURATION: Duration = Duration::from_secs(3);
/// Time after which the balancer stops sending to a dead entry.
const DEAD_ENTRY_DETECTION: Duration = Duration::from_millis(500);
/// Time after which the balancer stops sending to an entry that is no longer ready.
const NOT_READY_DETECTION: Duration = Duration::from_millis(100);
const STORE_DELAY_MS: u64 = 800;
const LIST_LAG_MS: u64 = 5_000;
const ANSWER_DELAY: Duration = Duration::from_millis(700);
const STALL_PER_TOKEN: Duration = Duration::from_millis(400);
const POISON_ATTEMPTS: usize = 12;
const POISON_INTERVAL: Duration = Duration::from_millis(400);
const POISON: &[u8] = br#"{"stream":true,"max_tokens":8,"messages":"poison"}"#;

/// Entries that the balancer sends callers to.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<RwLock<Vec<SocketAddr>>>);

impl Balancer {
    /// A balancer in front of so many entries.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(entries)))
    }

    /// The entries at this moment.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn remove_after(&self, addr: SocketAddr, delay: Duration) {
        let entries = Arc::clone(&self.0);
        tokio::spawn(async move {
            sleep(delay).await;
            entries.write().unwrap_or_else(PoisonError::into_inner).retain(|known| *known != addr);
        });
    }
}

/// Brings faults about.
#[derive(Debug)]
pub struct FaultInjector {
    /// The fleet.
    pub cluster: LoadCluster,
    /// Where callers are sent.
    pub balancer: Balancer,
    /// What goes on beside the run.
    pub tasks: JoinSet<()>,
    /// Position of the upstream that left, and when.
    pub left_upstream: Option<(usize, Instant)>,
}

impl FaultInjector {
    /// Begins a fault, and tells after which time [`FaultInjector::end`] is to be called.
    pub fn begin(&mut self, fault: Fault) -> Option<Duration> {
        let cluster = &mut self.cluster;
        match fault {
            Fault::UpstreamCrash => cluster.engines[0].handler.crash(),
            Fault::LedgerCrash => cluster.plain_services[0].handler.crash(),
            Fault::SidecarCrash => cluster.sidecars[1].host.kill(),
            Fault::EntryCrash => self.kill_entry(),
            Fault::UpstreamLeave => self.leave_upstream(),
            Fault::EntryLeave => self.leave_entry(),
            Fault::Stall => cluster.engines[2].handler.set_stall(STALL_PER_TOKEN),
            Fault::Poison => self.send_poison(),
            Fault::Partition => self.set_path_state(0, PathState::Cut),
            Fault::LateAnswers => self.set_path_state(1, PathState::Delayed(ANSWER_DELAY)),
            Fault::DomainLoss => self.lose_domain(),
            Fault::StoreDown | Fault::StoreSlow | Fault::StoreLostAnswer | Fault::ListLag => {
                self.set_store(fault, true);
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

    /// Ends a fault.
    pub fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Stall => self.cluster.engines[2].handler.set_stall(Duration::ZERO),
            Fault::Partition => self.set_path_state(0, PathState::Open),
            Fault::LateAnswers => self.set_path_state(1, PathState::Open),
            _ => self.set_store(fault, false),
        }
    }

    fn set_store(&self, fault: Fault, active: bool) {
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
        self.tasks.spawn(async move { sidecar.host.close(SidecarNode::close).await });
    }

    fn lose_domain(&mut self) {
        for sidecar in self.cluster.sidecars.iter_mut().skip(1).step_by(3) {
            sidecar.host.kill();
        }
    }

    /// A caller that does not give up on a request that crashes engines.
    fn send_poison(&mut self) {
        let entries = self.balancer.entries();
        self.tasks.spawn(async move {
            let caller = Caller::new(&account_key(0));
            for at in 0..POISON_ATTEMPTS {
                let to = entries[at % entries.len()];
                let body = bytes::Bytes::from_static(POISON);
                caller.send(to, Method::POST, "/chat", None, body).await.ok();
                sleep(POISON_INTERVAL).await;
            }
        });
    }
}
