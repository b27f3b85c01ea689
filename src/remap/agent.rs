use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;

use super::event::Event;
use super::leader_watch::LeaderWatch;
use super::map_cache::MapCache;
use super::sidecar_clients::SidecarClients;
use super::{
    HeldExperts, LeaderTerm, MapUpdate, PrepareOrder, RankClient, RankCommand, RankConnector,
    RankCounts, RankError, RankOrder, RankRpcClient, RankRpcServer, RankState, command_confirmed,
};
use crate::event_log::{EventLog, Level};

/// Max wait for another sidecar to which a map is passed on.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(800);
/// Max time for which a call waits until the rank has copied experts.
const MAX_PREPARED_WAIT: Duration = Duration::from_millis(500);

/// Serves the leader's RPC calls for the rank beside this sidecar. States are read for every
/// leader. Orders are refused from the leader of an earlier term or of a group that the rank is not
/// in.
#[derive(Debug)]
pub(super) struct Agent<R: RankConnector> {
    pub(super) connector: Arc<R>,
    pub(super) rank: Arc<R::Client>,
    pub(super) watch: LeaderWatch,
    pub(super) maps: MapCache,
    pub(super) sidecars: SidecarClients,
    pub(super) log: EventLog,
}

impl<R: RankConnector> Agent<R> {
    /// Learns a map. Returns whether it is known now.
    fn learn(&self, update: &MapUpdate) -> bool {
        if self.maps.find(update.digest).is_some() {
            return true;
        }
        match update.apply(|digest| self.maps.find(digest)) {
            Ok(map) => {
                self.maps.insert(map);
                true
            }
            Err(err) => {
                let (base, reason) = (format!("{:?}", update.base), err.to_string());
                self.log.write(Level::Warn, &Event::MapNotLearned { base, reason });
                false
            }
        }
    }

    /// Passes a map on to other sidecars. Returns how many of them do not know it afterwards.
    async fn pass_on(
        &self,
        leader: &LeaderTerm,
        update: &MapUpdate,
        others: &[SocketAddr],
    ) -> usize {
        let passed = others.iter().map(|addr| async move {
            let Some(other) = self.sidecars.get(*addr) else { return 1 };
            let call = other.client.share_map(leader.clone(), update.clone(), Vec::new());
            match tokio::time::timeout(PASS_ON_TIMEOUT, call).await {
                Ok(Ok(Ok(missing))) => missing,
                _ => 1,
            }
        });
        join_all(passed).await.into_iter().sum()
    }

    /// Reads the rank's state and records the call if the leader is that of the rank's group.
    async fn own_state(&self, leader: &LeaderTerm) -> Result<RankState, RankError> {
        self.watch.record_call(leader);
        let state = self.rank.state().await?;
        self.record_group(&state, leader);
        Ok(state)
    }

    /// Records the rank's group. A call from the leader of a group that the rank has just been
    /// found in counts as well.
    fn record_group(&self, state: &RankState, leader: &LeaderTerm) {
        let known = self.watch.is_in(&state.group);
        self.watch.set_group(&state.group);
        if !known {
            self.watch.record_call(leader);
        }
    }

    /// Refuses an order from the leader of an earlier term, or of a group that the rank is not in
    /// now.
    async fn admit(&self, leader: &LeaderTerm) -> Result<(), RankError> {
        self.own_state(leader).await?;
        self.admit_known(leader)
    }

    /// Like [`Agent::admit`], by the group that the rank was last seen in.
    fn admit_known(&self, leader: &LeaderTerm) -> Result<(), RankError> {
        if self.watch.record_call(leader) {
            Ok(())
        } else if self.watch.is_in(&leader.group) {
            Err(RankError::Fenced)
        } else {
            Err(RankError::Refused)
        }
    }

    /// Gives the rank an order that was admitted, and logs it if the rank does not accept it.
    async fn give(&self, leader: &LeaderTerm, command: &RankCommand) -> Result<(), RankError> {
        let ended = command_confirmed(self.rank.as_ref(), command).await;
        if let Err(err) = ended {
            let event = Event::OrderFailed {
                term: leader.term,
                order: command.order.as_str(),
                version: command.order.version(),
                fence: command.fence,
                reason: err.to_string(),
            };
            self.log.write(Level::Warn, &event);
        }
        ended
    }

    /// Refuses a read by the leader of a group other than the one in which the rank was last seen.
    fn admit_read(&self, leader: &LeaderTerm) -> Result<(), RankError> {
        self.watch.record_call(leader);
        if self.watch.is_in(&leader.group) { Ok(()) } else { Err(RankError::Refused) }
    }
}

#[async_trait]
impl<R: RankConnector> RankRpcServer for Agent<R> {
    async fn state(
        &self,
        leader: LeaderTerm,
    ) -> Result<Result<RankState, RankError>, ErrorObjectOwned> {
        Ok(self.own_state(&leader).await)
    }

    async fn prepared_state(
        &self,
        leader: LeaderTerm,
        version: u64,
        max_wait_ms: u64,
    ) -> Result<Result<RankState, RankError>, ErrorObjectOwned> {
        self.watch.record_call(&leader);
        let max_wait = Duration::from_millis(max_wait_ms).min(MAX_PREPARED_WAIT);
        let state = self.rank.prepared_state(version, max_wait).await;
        if let Ok(state) = &state {
            self.record_group(state, &leader);
        }
        Ok(state)
    }

    async fn share_map(
        &self,
        leader: LeaderTerm,
        update: MapUpdate,
        others: Vec<SocketAddr>,
    ) -> Result<Result<usize, RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit_known(&leader) {
            return Ok(Err(err));
        }
        let missing = self.pass_on(&leader, &update, &others).await;
        Ok(Ok(missing + usize::from(!self.learn(&update))))
    }

    async fn prepare(
        &self,
        leader: LeaderTerm,
        order: PrepareOrder,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit(&leader).await {
            return Ok(Err(err));
        }
        let Some(map) = self.maps.find(order.digest) else {
            return Ok(Err(RankError::MapMissing));
        };
        let PrepareOrder { version, epoch, fence, .. } = order;
        let order = RankOrder::Prepare { version, map };
        Ok(self.give(&leader, &RankCommand { order, epoch, fence }).await)
    }

    async fn counts(
        &self,
        leader: LeaderTerm,
    ) -> Result<Result<RankCounts, RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit_read(&leader) {
            return Ok(Err(err));
        }
        Ok(self.rank.counts().await)
    }

    async fn held(
        &self,
        leader: LeaderTerm,
    ) -> Result<Result<Vec<HeldExperts>, RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit_read(&leader) {
            return Ok(Err(err));
        }
        Ok(self.rank.held().await)
    }

    async fn command_at(
        &self,
        leader: LeaderTerm,
        rank: SocketAddr,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit(&leader).await {
            return Ok(Err(err));
        }
        Ok(self.connector.client(rank).command(&command).await)
    }

    async fn command(
        &self,
        leader: LeaderTerm,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit(&leader).await {
            return Ok(Err(err));
        }
        Ok(self.give(&leader, &command).await)
    }
}
