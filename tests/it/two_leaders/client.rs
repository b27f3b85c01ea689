use std::sync::Arc;
use std::time::Duration;

use ebonyusher::remap::{HeldExperts, RankClient, RankCommand, RankCounts, RankError, RankState};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::world::{Call, CallKind, World};

/// A leader's client of a rank. Its calls wait until the search lets them go on.
pub(super) struct QueuedClient {
    pub(super) world: Arc<World>,
    pub(super) leader: usize,
    pub(super) rank: usize,
}

impl QueuedClient {
    fn queue(&self, kind: CallKind) {
        self.world.calls().push(Call { leader: self.leader, rank: self.rank, kind });
    }
}

impl RankClient for QueuedClient {
    async fn state(&self) -> Result<RankState, RankError> {
        let (answer, answered) = oneshot::channel();
        self.queue(CallKind::Read(answer));
        answered.await.map_err(|_| RankError::Unknown)
    }

    async fn prepared_state(
        &self,
        version: u64,
        max_wait: Duration,
    ) -> Result<RankState, RankError> {
        let state = self.state().await?;
        if state.prepared != Some(version) {
            sleep(max_wait).await;
        }
        Ok(state)
    }

    async fn counts(&self) -> Result<RankCounts, RankError> {
        Err(RankError::Unknown)
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        Err(RankError::Unknown)
    }

    async fn command(&self, command: &RankCommand) -> Result<(), RankError> {
        let (answer, answered) = oneshot::channel();
        self.queue(CallKind::Order(command.clone(), answer));
        answered.await.unwrap_or(Err(RankError::Unknown))
    }
}
