use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

use super::ranks::{Ranks, all_answers};
use super::term::Term;
use super::{Ballot, LeaderError, MapId, MapStore, RankReport, choose_map};
use crate::group::{ExpertMap, Planner, PlannerOptions, Shape};
use crate::id::Incarnation;
use crate::lease::{Lease, LeaseError};
use crate::metrics::Meter;
use crate::platform::{InstanceList, ObjectStore, Phase, Table};
use crate::settings::CurrentSettings;

/// Number of renewals of the lease within its length.
const RENEWALS_PER_LEASE: u32 = 4;

/// Options of a group's leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderOptions {
    /// Sizes of the group. Each rank has one sidecar.
    pub shape: Shape,
    /// Options of the planner.
    pub planner: PlannerOptions,
    /// Length of the lease.
    pub lease: Duration,
    /// Interval between two plans.
    pub interval: Duration,
    /// Max number of experts that one plan may fetch.
    pub budget: usize,
}

/// Identity of a leader: the group that it may lead and the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderIdentity {
    /// Service of the group, as `team/service`.
    pub service: String,
    /// Link key: secret shared by the system's own processes.
    pub key: String,
    /// Incarnation of the process.
    pub own: Incarnation,
}

/// Leads a group while it holds the group's lease. Every sidecar of the group runs a `Leader`.
#[derive(Debug)]
pub struct Leader<P> {
    pub(super) platform: Arc<P>,
    pub(super) service: String,
    pub(super) key: String,
    pub(super) options: LeaderOptions,
    pub(super) maps: MapStore<P>,
    pub(super) lease: Lease<P>,
    pub(super) current: CurrentSettings,
    pub(super) meter: Arc<Meter>,
}

impl<P: Table + ObjectStore + InstanceList> Leader<P> {
    /// A candidate for the lead of a service's group.
    pub fn new(
        platform: Arc<P>,
        identity: LeaderIdentity,
        options: LeaderOptions,
        current: CurrentSettings,
        meter: Arc<Meter>,
    ) -> Self {
        let LeaderIdentity { service, key, own } = identity;
        let name = format!("group/{service}");
        let lease = Lease::new(Arc::clone(&platform), &name, own, options.lease);
        let maps = MapStore::new(Arc::clone(&platform), &service);
        Self { platform, service, key, options, maps, lease, current, meter }
    }

    /// Leads the group whenever it can acquire the lease, until the process ends.
    pub async fn run(mut self) {
        loop {
            match self.lease.hold().await {
                Ok(fence) => {
                    if let Err(err) = self.lead(fence).await {
                        warn!("group: this process no longer leads {}: {err}", self.service);
                    }
                }
                Err(LeaseError::Taken | LeaseError::StoreDown) => {}
            }
            // Processes without the lease only check it again after about half its length.
            sleep((self.options.lease / 2).mul_f64(rand::random_range(0.8..1.2))).await;
        }
    }

    /// Leads the group for one term.
    async fn lead(&mut self, fence: u64) -> Result<(), LeaderError> {
        let mut term = self.open_term(fence).await?;
        info!("group: this process leads {}, fencing token {fence}", self.service);
        let renewal = self.options.lease / RENEWALS_PER_LEASE;
        let mut next_plan = Instant::now() + self.options.interval;
        let mut next_renewal = Instant::now() + renewal;
        loop {
            sleep_until(next_plan.min(next_renewal)).await;
            if Instant::now() >= next_renewal {
                self.renew(term.fence).await?;
                next_renewal = Instant::now() + renewal;
            }
            if Instant::now() >= next_plan {
                self.run_round(&mut term).await?;
                next_plan = Instant::now() + self.options.interval;
            }
        }
    }

    /// Plans and switches once. If a rank is lost, has the group form a new epoch.
    async fn run_round(&mut self, term: &mut Term) -> Result<(), LeaderError> {
        if self.lease.fence() != Some(term.fence) {
            return Err(LeaderError::LeaseLost);
        }
        match self.plan_and_switch(term).await {
            Err(LeaderError::RankLost(rank)) => {
                warn!("group: rank {rank} of {} does not answer", self.service);
                self.form(term).await
            }
            Err(LeaderError::StoreDown) => {
                warn!("group: the store is unavailable, no new map");
                Ok(())
            }
            ended => ended,
        }
    }

    /// Renews the lease. While the store is unavailable the group keeps running, but once the lease
    /// has expired nothing new is proposed.
    async fn renew(&mut self, fence: u64) -> Result<(), LeaderError> {
        match self.lease.hold().await {
            Ok(held) if held == fence => Ok(()),
            Ok(_) | Err(LeaseError::Taken) => Err(LeaderError::LeaseLost),
            Err(LeaseError::StoreDown) if self.lease.fence() == Some(fence) => Ok(()),
            Err(LeaseError::StoreDown) => Err(LeaderError::LeaseLost),
        }
    }

    /// Begins a term: finds the ranks, and adopts their epoch and map or has them form a new epoch.
    async fn open_term(&mut self, fence: u64) -> Result<Term, LeaderError> {
        let ranks = self.find_ranks().await?;
        let shape = self.options.shape;
        let mut term = Term {
            fence,
            epoch: 0,
            serial: 0,
            ranks,
            planner: Planner::new(shape, self.options.planner),
            map: ExpertMap::initial(&shape),
            id: MapId::default(),
            planned: 0,
        };
        let reports = term.ranks.reports().await?;
        let epoch = reports[0].epoch;
        let same_epoch = epoch > 0 && reports.iter().all(|report| report.epoch == epoch);
        if !same_epoch {
            self.form(&mut term).await?;
            return Ok(term);
        }
        term.epoch = epoch;
        self.finish_open(&term, &reports).await?;
        let reports = term.ranks.reports().await?;
        self.adopt(&mut term, &reports).await?;
        Ok(term)
    }

    /// Settles the proposal that an earlier leader left open, if any.
    async fn finish_open(&self, term: &Term, reports: &[RankReport]) -> Result<(), LeaderError> {
        let open = reports.iter().filter_map(|report| report.open).max_by_key(|open| open.id);
        let Some(open) = open else { return Ok(()) };
        self.decide(term, open.id, Ballot::new(term.ranks.len())).await.map(|_| ())
    }

    /// Adopts the map that is or is about to be in force at the ranks.
    async fn adopt(&self, term: &mut Term, reports: &[RankReport]) -> Result<(), LeaderError> {
        let next_map = |report: &RankReport| report.open.map_or(report.map, |open| open.map);
        term.id = reports.iter().map(next_map).max().unwrap_or_default();
        term.map = self.read_map(term.id).await?;
        Ok(())
    }

    async fn read_map(&self, id: MapId) -> Result<ExpertMap, LeaderError> {
        if id == MapId::default() {
            return Ok(ExpertMap::initial(&self.options.shape));
        }
        self.maps.read(id).await?.ok_or(LeaderError::StoreDown)
    }

    /// Finds the sidecars of all ranks. They are sorted by name, so that every leader numbers the
    /// ranks alike.
    async fn find_ranks(&self) -> Result<Ranks, LeaderError> {
        let list = self.platform.list().await.map_err(|_| LeaderError::StoreDown)?;
        let live = list.iter().filter(|inst| inst.phase == Phase::Live);
        let mut own: Vec<_> = live.filter(|inst| inst.service == self.service).collect();
        own.sort_by(|left, right| left.name.cmp(&right.name));
        let wanted = self.options.shape.ranks;
        if own.len() != wanted {
            return Err(LeaderError::Incomplete(own.len(), wanted));
        }
        let peers: Vec<_> = own.iter().map(|inst| inst.peer).collect();
        Ok(Ranks::new(&peers, &self.key))
    }

    /// Forms a new epoch: stops all ranks, chooses the map, and has the ranks join the epoch.
    async fn form(&mut self, term: &mut Term) -> Result<(), LeaderError> {
        // Each epoch needs a number that no other leader and no earlier epoch has used.
        term.fence = self.lease.advance().await.map_err(|_| LeaderError::LeaseLost)?;
        term.ranks = self.find_ranks().await?;
        let epoch = term.fence;
        let frozen = all_answers(term.ranks.freeze(epoch).await)?;
        let reports: Option<Vec<RankReport>> = frozen.into_iter().collect();
        let reports = reports.ok_or(LeaderError::Outdated)?;
        let id = choose_map(&reports);
        term.map = self.read_map(id).await?;
        if id != MapId::default() {
            self.prefetch(term, id).await?;
        }
        let incarnations: Vec<u64> = reports.iter().map(|report| report.incarnation).collect();
        let formed = all_answers(term.ranks.form(&incarnations, epoch, id).await)?;
        if formed.contains(&false) {
            return Err(LeaderError::Outdated);
        }
        (term.epoch, term.id, term.serial) = (epoch, id, 0);
        info!("group: {} formed as epoch {epoch} with map {id}", self.service);
        Ok(())
    }

    /// Plans a map from the latest counts, and switches to it if there is one.
    async fn plan_and_switch(&self, term: &mut Term) -> Result<(), LeaderError> {
        let stats = term.ranks.stats().await?;
        let current = self.current.get();
        let service = current.service(&self.service);
        if let Some(group) = service.and_then(|service| service.group) {
            term.planner.set_weights(group.weights());
        }
        term.observe(&self.options.shape, &stats);
        let Some(plan) = term.planner.plan(&term.map, self.options.budget) else {
            return Ok(());
        };
        let map = term.new_id();
        self.maps.write(map, &plan.map).await?;
        self.prefetch(term, map).await?;
        if self.switch(term, map).await? {
            term.id = map;
            term.map = plan.map;
        }
        Ok(())
    }

    async fn prefetch(&self, term: &Term, map: MapId) -> Result<(), LeaderError> {
        let fetched = all_answers(term.ranks.prefetch(term.fence, map).await)?;
        if fetched.contains(&false) { Err(LeaderError::Outdated) } else { Ok(()) }
    }
}
