use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::assembly::{AssembleError, Group};
use super::event::Event;
use super::group_memory::GroupMemory;
use super::map_plan::{MapPlan, plan_map};
use super::sidecar_clients::SidecarClients;
use super::switch::{SwitchError, armed_last, settle_switch, switch};
use super::term_store::TermStore;
use super::{
    LeaderTerm, MapUpdate, PeerRank, PlacementLimits, RankConnector, RankSet, SharedMap,
    first_fence,
};
use crate::direct::{Directory, Experts, RoutingChange};
use crate::event_log::{EventLog, Level};
use crate::platform::Table;
use crate::settings::RebalanceSettings;
use crate::units::millis;

/// Interval between attempts to find all ranks of an incomplete group.
const ASSEMBLE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two readings of the token counts.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two readings of all ranks' states. These calls also serve as the leader's
/// heartbeat to the sidecars.
const STATES_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the ranks beside which a map may be missing after an update, as a divisor. The order to
/// prepare brings the whole map to these.
const MAX_MISSING_PART: usize = 16;
/// Backoff after a failed switch, since the fault that lost its orders may persist.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);

/// Why a term has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeadEnd {
    /// Another leader has taken over, or there is nothing to lead.
    Replaced,
    /// A rank has refused an order as fenced.
    Fenced,
}

/// Leads a group for one term: reads demand, plans maps and switches to them.
#[derive(Debug)]
pub(super) struct Leadership<'a, D, R: RankConnector> {
    pub(super) terms: &'a TermStore<D>,
    pub(super) directory: Arc<D>,
    pub(super) connector: Arc<R>,
    pub(super) sidecars: &'a SidecarClients,
    /// Address of the rank beside this process.
    pub(super) local_addr: SocketAddr,
    /// Port on which every sidecar of the group listens.
    pub(super) peer_port: u16,
    pub(super) service: String,
    pub(super) leader: LeaderTerm,
    pub(super) memory: &'a GroupMemory,
    /// Rank beside the leader that last recorded that it may begin a switch. Its machine may be
    /// frozen.
    pub(super) switcher: Option<usize>,
    pub(super) rebalance: RebalanceSettings,
    pub(super) log: EventLog,
}

impl<D: Table + Directory, R: RankConnector> Leadership<'_, D, R> {
    /// Leads until another leader takes over. Returns without leading if the settings state no
    /// sizes of the group.
    pub(super) async fn run(self) -> LeadEnd {
        let mut fence = first_fence(self.leader.term);
        let Some(experts) = self.experts().await else { return LeadEnd::Replaced };
        loop {
            let mut group = match self.assemble(&experts, &mut fence).await {
                Ok(group) => group,
                Err(AssembleError::NotReady) => {
                    sleep(ASSEMBLE_INTERVAL).await;
                    continue;
                }
                Err(AssembleError::Superseded) => {
                    self.log_deposed("the stored term is another leader's");
                    return LeadEnd::Replaced;
                }
                Err(AssembleError::Fenced) => {
                    self.log_deposed("a rank has a newer leader");
                    return LeadEnd::Fenced;
                }
            };
            let row = group.row.clone();
            let ended = tokio::select! {
                ended = self.rebalance(&mut group, &experts) => ended,
                never = self.publish_members(&row) => match never {},
            };
            fence = group.ranks.fence();
            if ended == SwitchError::Deposed {
                self.log_deposed("a rank has a newer leader");
                return LeadEnd::Fenced;
            }
        }
    }

    fn log_deposed(&self, reason: &str) {
        self.log.write(Level::Warn, &Event::Deposed { term: self.leader.term, reason });
    }

    /// Reads the sizes of the group from the service's settings, and retries until there are
    /// settings. Returns `None` if they state no sizes.
    async fn experts(&self) -> Option<Experts> {
        loop {
            let read = self.directory.routing(None, Duration::ZERO).await;
            let changes = match read {
                Ok(changes) => changes,
                Err(err) => {
                    self.log.write(Level::Warn, &Event::PlatformDown { detail: err.to_string() });
                    sleep(ASSEMBLE_INTERVAL * 4).await;
                    continue;
                }
            };
            let routing = changes.items.into_iter().find_map(|change| match change {
                RoutingChange::Written(routing) => Some(routing),
                RoutingChange::Unusable(_)
                | RoutingChange::Evacuated(_)
                | RoutingChange::Restored(_) => None,
            });
            if let Some(routing) = routing {
                let service = routing.service(&self.service);
                return service.and_then(|service| service.engine).and_then(|e| e.experts);
            }
            sleep(ASSEMBLE_INTERVAL).await;
        }
    }

    /// Undoes an unfinished switch.
    pub(super) async fn settle(
        &self,
        ranks: &mut RankSet<PeerRank<R::Client>>,
        local: usize,
        last_armed: &[usize],
    ) -> Result<(), SwitchError> {
        let started = Instant::now();
        let commands = settle_switch(ranks, local, last_armed).await?;
        if commands > 0 {
            let took_ms = millis(started.elapsed());
            let event = Event::Settled { epoch: ranks.epoch(), took_ms, commands };
            self.log.write(Level::Warn, &event);
        }
        Ok(())
    }

    /// Rebalances the group as demand changes, until it forms a new epoch, stops running or has
    /// another leader. Returns which of these ended it.
    async fn rebalance(&self, group: &mut Group<R::Client>, experts: &Experts) -> SwitchError {
        loop {
            sleep(OBSERVE_INTERVAL).await;
            let own = group.ranks.state_of(group.local).await;
            let own = own.filter(|own| own.epoch == group.ranks.epoch() && own.open);
            let Some(own) = own else {
                return SwitchError::Failed(
                    "observe",
                    "the group is in a new epoch or not running".to_owned(),
                );
            };
            if group.next_states <= Instant::now() {
                group.next_states = Instant::now() + STATES_INTERVAL;
                if group.ranks.states().await.contains(&None) {
                    continue;
                }
            }
            let counts = group.ranks.counts(&group.sampled).await;
            let shifted = group.demand.observe(&counts);
            if shifted {
                group.next_plan = group.next_plan.min(Instant::now());
            }
            // Ranks that have yet to switch refuse to prepare another map.
            let is_switching = own.pass < group.switch_pass;
            if is_switching || counts.contains(&None) || Instant::now() < group.next_plan {
                continue;
            }
            if let Err(err) = self.plan(group, experts).await {
                return err;
            }
        }
    }

    /// Plans a map and switches to it if it lowers the skew enough. Undoes a switch that fails.
    async fn plan(
        &self,
        group: &mut Group<R::Client>,
        experts: &Experts,
    ) -> Result<(), SwitchError> {
        let limits = PlacementLimits {
            places: experts.places,
            spare: experts.spare,
            copy_cost: self.rebalance.copy_cost / group.ranks.len().max(1) as f64,
        };
        let plan = plan_map(&group.map, &group.demand, &limits).await;
        if plan.before - plan.after < self.rebalance.min_gain {
            return Ok(());
        }
        let started = Instant::now();
        let version = group.ranks.new_version();
        let MapPlan { map, copies, before, after } = plan;
        let map = SharedMap::from(map);
        let event = Event::Planned {
            term: self.leader.term,
            version,
            digest: map.digest_text(),
            copies,
            skew_before: before,
            skew_after: after,
        };
        self.log.write(Level::Info, &event);
        self.share_map(group, version, &map).await;
        match switch(&mut group.ranks, group.local, version, &map).await {
            Ok(pass) => {
                let epoch = group.ranks.epoch();
                group.map = map;
                group.switch_pass = pass;
                let event =
                    Event::Switched { version, pass, epoch, took_ms: millis(started.elapsed()) };
                self.log.write(Level::Info, &event);
                group.next_plan = started + self.rebalance.interval();
                Ok(())
            }
            Err(SwitchError::Deposed) => Err(SwitchError::Deposed),
            Err(SwitchError::Failed(step, detail)) => {
                let epoch = group.ranks.epoch();
                let took_ms = millis(started.elapsed());
                let event = Event::SwitchFailed { version, epoch, step, detail, took_ms };
                self.log.write(Level::Warn, &event);
                group.next_plan = Instant::now() + FAILURE_BACKOFF;
                let last_armed = armed_last(group.local, group.ranks.len());
                self.settle(&mut group.ranks, group.local, &last_armed).await
            }
        }
    }

    /// Makes a map known beside all ranks: by its difference to the map in force or, where that is
    /// not known beside most of them, as a whole. The order to prepare brings it to the rest.
    async fn share_map(&self, group: &Group<R::Client>, version: u64, map: &SharedMap) {
        let updates = [MapUpdate::between(Some(&group.map), map), MapUpdate::between(None, map)];
        for update in updates {
            let started = Instant::now();
            let missing = group.ranks.share_map(group.local, &update).await;
            let (bytes, took_ms) = (update.size(), millis(started.elapsed()));
            let event = Event::MapShared { version, bytes, missing, took_ms };
            self.log.write(Level::Info, &event);
            if missing <= group.ranks.len() / MAX_MISSING_PART {
                return;
            }
        }
    }
}
