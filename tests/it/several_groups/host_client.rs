use std::sync::Arc;
use std::time::Duration;

use ebonyusher::remap::{
    HeldExperts, RankClient, RankCommand, RankCounts, RankError, RankOrder, RankState, first_fence,
};
use tokio::time::sleep;

use super::world::World;
use crate::large_group::SETS;

/// Time after which a call without an answer ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(80);
/// One-way delay of a read.
const DELAY: Duration = Duration::from_millis(2);

/// A client of the rank on a host of a [`World`].
#[derive(Clone, Debug)]
pub(super) struct HostClient {
    world: Arc<World>,
    host: usize,
    /// Number of groups, `None` if orders are not checked. A leader's term modulo it is the number
    /// of the leader's group.
    checked_terms: Option<u64>,
}

impl HostClient {
    pub(super) fn new(world: &Arc<World>, host: usize) -> Self {
        Self { world: Arc::clone(world), host, checked_terms: None }
    }

    /// Records each order as stray that reaches a running rank of a group other than the term says.
    #[must_use]
    pub(super) fn with_checked_terms(self) -> Self {
        let groups = self.world.groups.len() as u64;
        Self { checked_terms: Some(groups), ..self }
    }

    async fn reach(&self) -> Result<(), RankError> {
        sleep(DELAY).await;
        if self.world.is_silent(self.host) {
            sleep(CALL_TIMEOUT).await;
            return Err(RankError::Unknown);
        }
        Ok(())
    }

    fn check_term(&self, group: usize, command: &RankCommand) {
        let Some(groups) = self.checked_terms else { return };
        let term = command.fence / first_fence(1);
        let is_open = self.world.groups[group].state(0, Duration::ZERO).open;
        if is_open && term % groups != group as u64 {
            let order = command.order.as_str();
            self.world.strays.lock().unwrap().push(format!("{order} of term {term} in {group}"));
        }
    }

    /// Checks that a map is one of the group.
    fn check_map(&self, group: usize, command: &RankCommand) {
        let RankOrder::Prepare { version, map } = &command.order else { return };
        let mut maps = self.world.maps[group].lock().unwrap();
        let known = maps.insert(*version, map.clone());
        if known.is_some_and(|known| known != *map) {
            let stray = format!("a second map {version} in {group}");
            self.world.strays.lock().unwrap().push(stray);
        }
    }
}

impl RankClient for HostClient {
    async fn state(&self) -> Result<RankState, RankError> {
        self.reach().await?;
        let (group, rank) = self.world.place(self.host);
        Ok(self.world.groups[group].state(rank, Duration::ZERO))
    }

    async fn counts(&self) -> Result<RankCounts, RankError> {
        self.reach().await?;
        let (group, rank) = self.world.place(self.host);
        let epoch = self.world.groups[group].state(rank, Duration::ZERO).epoch;
        Ok(RankCounts { epoch, counts: self.world.counts(group) })
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        self.reach().await?;
        let (group, rank) = self.world.place(self.host);
        let version = self.world.groups[group].state(rank, Duration::ZERO).map;
        let maps = self.world.maps[group].lock().unwrap();
        let held = maps.get(&version).map(|map| map.sets.iter().map(|set| set[rank].clone()));
        Ok(held.map_or_else(|| vec![HeldExperts::new(); SETS], Iterator::collect))
    }

    async fn command(&self, command: &RankCommand) -> Result<(), RankError> {
        if self.world.is_silent(self.host) {
            return self.reach().await;
        }
        let (group, rank) = self.world.place(self.host);
        self.check_term(group, command);
        self.world.groups[group].apply(rank, command)?;
        self.check_map(group, command);
        sleep(DELAY).await;
        Ok(())
    }
}
