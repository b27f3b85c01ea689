use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::time::Instant;

use super::{
    HeldExperts, RankClient, RankCommand, RankConnector, RankCounts, RankError, RankRpcServer,
    RankState,
};

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
}

impl<R: RankConnector> Agent<R> {
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
