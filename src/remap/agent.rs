use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::time::Instant;

use super::event::Event;
use super::map_cache::MapCache;
use super::sidecar_clients::SidecarClients;
use super::{
    HeldExperts, MapUpdate, PrepareOrder, RankClient, RankCommand, RankConnector, RankCounts,
    RankError, RankOrder, RankRpcClient, RankRpcServer, RankState,
};
use crate::event_log::{EventLog, Level};

/// Max wait for another sidecar to which a map is passed on.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(800);
/// Max time for which a call waits until the rank has copied experts.
const MAX_PREPARED_WAIT: Duration = Duration::from_millis(500);

/// Term and time of the last call that a sidecar received from its group's leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderWatch(Arc<Mutex<LastCall>>);

#[derive(Clone, Copy, Debug)]
struct LastCall {
    term: u64,
    at: Instant,
}

impl LeaderWatch {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(LastCall { term: 0, at: Instant::now() })))
    }

    /// Records a call from the leader of `term`, unless a later term is known. Returns whether the
    /// call was recorded.
    pub(super) fn record_call(&self, term: u64) -> bool {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if term < last.term {
            return false;
        }
        *last = LastCall { term, at: Instant::now() };
        true
    }

    /// Time since the last call from the leader of the latest known term.
    pub(super) fn silence(&self) -> Duration {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).at.elapsed()
    }

    /// Latest known term.
    pub(super) fn term(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).term
    }
}

/// Serves the leader's RPC calls for the rank beside this sidecar. Reads are answered for every
/// leader, orders are refused from the leader of an earlier term.
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
    async fn pass_on(&self, term: u64, update: &MapUpdate, others: &[SocketAddr]) -> usize {
        let passed = others.iter().map(|addr| async move {
            let Some(other) = self.sidecars.get(*addr) else { return 1 };
            let call = other.client.share_map(term, update.clone(), Vec::new());
            match tokio::time::timeout(PASS_ON_TIMEOUT, call).await {
                Ok(Ok(Ok(missing))) => missing,
                _ => 1,
            }
        });
        join_all(passed).await.into_iter().sum()
    }

    /// Refuses an order from the leader of an earlier term.
    fn admit(&self, term: u64) -> Result<(), RankError> {
        if self.watch.record_call(term) { Ok(()) } else { Err(RankError::Fenced) }
    }
}

#[async_trait]
impl<R: RankConnector> RankRpcServer for Agent<R> {
    async fn state(&self, term: u64) -> Result<Result<RankState, RankError>, ErrorObjectOwned> {
        self.watch.record_call(term);
        Ok(self.rank.state().await)
    }

    async fn prepared_state(
        &self,
        term: u64,
        version: u64,
        max_wait_ms: u64,
    ) -> Result<Result<RankState, RankError>, ErrorObjectOwned> {
        self.watch.record_call(term);
        let max_wait = Duration::from_millis(max_wait_ms).min(MAX_PREPARED_WAIT);
        Ok(self.rank.prepared_state(version, max_wait).await)
    }

    async fn share_map(
        &self,
        term: u64,
        update: MapUpdate,
        others: Vec<SocketAddr>,
    ) -> Result<Result<usize, RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit(term) {
            return Ok(Err(err));
        }
        let missing = self.pass_on(term, &update, &others).await;
        Ok(Ok(missing + usize::from(!self.learn(&update))))
    }

    async fn prepare(
        &self,
        term: u64,
        order: PrepareOrder,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit(term) {
            return Ok(Err(err));
        }
        let Some(map) = self.maps.find(order.digest) else {
            return Ok(Err(RankError::MapMissing));
        };
        let PrepareOrder { version, epoch, fence, .. } = order;
        let order = RankOrder::Prepare { version, map };
        Ok(self.rank.command(&RankCommand { order, epoch, fence }).await)
    }

    async fn counts(&self, term: u64) -> Result<Result<RankCounts, RankError>, ErrorObjectOwned> {
        self.watch.record_call(term);
        Ok(self.rank.counts().await)
    }

    async fn held(
        &self,
        term: u64,
    ) -> Result<Result<Vec<HeldExperts>, RankError>, ErrorObjectOwned> {
        self.watch.record_call(term);
        Ok(self.rank.held().await)
    }

    async fn command_at(
        &self,
        term: u64,
        rank: SocketAddr,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit(term) {
            return Ok(Err(err));
        }
        Ok(self.connector.client(rank).command(&command).await)
    }

    async fn command(
        &self,
        term: u64,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned> {
        if let Err(err) = self.admit(term) {
            return Ok(Err(err));
        }
        Ok(self.rank.command(&command).await)
    }
}
