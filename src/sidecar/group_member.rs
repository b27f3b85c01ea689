use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::group::PlannerOptions;
use crate::id::Incarnation;
use crate::lease::{FenceGate, LeaseRow, lease_key};
use crate::metrics::Meter;
use crate::peer::SettingsServer;
use crate::platform::{InstanceList, ObjectStore, Table};
use crate::settings::{CurrentSettings, Group, SidecarFile};
use crate::switch::{
    HttpWeightPrefetcher, Leader, LeaderIdentity, LeaderOptions, MapStore, RankServer, StepGate,
};

/// Duration of the lease on a group.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// Interval between two attempts to read the lease's row at startup.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of experts that one plan may fetch.
const MAX_FETCHES_PER_PLAN: usize = 16;

/// A sidecar's membership in the expert-parallel group of its service.
#[derive(Debug)]
pub(super) struct GroupMember<P> {
    platform: Arc<P>,
    service: String,
    link_key: String,
    incarnation: Incarnation,
    current: CurrentSettings,
    meter: Arc<Meter>,
    gate: Arc<StepGate>,
    fences: Arc<FenceGate>,
    weights: HttpWeightPrefetcher,
}

impl<P: Table + ObjectStore + InstanceList> GroupMember<P> {
    pub(super) fn new(
        platform: Arc<P>,
        file: &SidecarFile,
        incarnation: Incarnation,
        current: CurrentSettings,
        meter: Arc<Meter>,
    ) -> Self {
        Self {
            platform,
            service: file.service.clone(),
            link_key: file.link_key.clone(),
            incarnation,
            current,
            meter,
            gate: Arc::new(StepGate::new()),
            fences: Arc::new(FenceGate::closed()),
            weights: HttpWeightPrefetcher::new(file.upstream),
        }
    }

    pub(super) const fn gate(&self) -> &Arc<StepGate> {
        &self.gate
    }

    pub(super) fn rank_server(
        &self,
        settings_server: SettingsServer,
    ) -> RankServer<P, HttpWeightPrefetcher> {
        RankServer::new(
            settings_server,
            Arc::clone(&self.gate),
            Arc::clone(&self.fences),
            MapStore::new(Arc::clone(&self.platform), &self.service),
            self.weights.clone(),
            Arc::clone(&self.meter),
        )
    }

    /// Waits until the service's settings name a group with a shape, then leads the group whenever
    /// it can acquire the group's lease, until the process ends.
    pub(super) async fn run(mut self) {
        let group = self.wait_group().await;
        self.open_fences().await;
        let Some(shape) = group.shape else { return };
        let options = LeaderOptions {
            shape: shape.shape(),
            planner: PlannerOptions { weights: group.weights(), ..PlannerOptions::default() },
            lease: LEASE_TIME,
            interval: group.interval.get(),
            budget: MAX_FETCHES_PER_PLAN,
        };
        let identity =
            LeaderIdentity { service: self.service, key: self.link_key, own: self.incarnation };
        Leader::new(self.platform, identity, options, self.current, self.meter).run().await;
    }

    async fn wait_group(&mut self) -> Group {
        loop {
            let current = self.current.get();
            let group = current.service(&self.service).and_then(|service| service.group);
            if let Some(group) = group.filter(|group| group.shape.is_some()) {
                return group;
            }
            self.current.changed().await;
        }
    }

    /// Opens the fence gate with the fencing token in the lease's row, so that no order with an
    /// older token passes this sidecar.
    async fn open_fences(&self) {
        let key = lease_key(&format!("group/{}", self.service));
        loop {
            match self.platform.get(&key).await {
                Ok(None) => return self.fences.open(0),
                Ok(Some(row)) => {
                    if let Ok(row) = row.read::<LeaseRow>() {
                        return self.fences.open(row.fence);
                    }
                }
                Err(_) => {}
            }
            sleep(READ_RETRY_INTERVAL).await;
        }
    }
}
