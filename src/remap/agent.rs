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

/// What a sidecar knows of the leader that calls it.
#[derive(Clone, Debug)]
pub(super) struct LeaderWatch(Arc<Mutex<Heard>>);

#[derive(Clone, Copy, Debug)]
struct Heard {
    term: u64,
    at: Instant,
}

impl LeaderWatch {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(Heard { term: 0, at: Instant::now() })))
    }

    /// Takes in a call of a leader, and tells whether it is the newest one known.
    pub(super) fn heard(&self, term: u64) -> bool {
        let mut heard = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if term < heard.term {
            return false;
        }
        *heard = Heard { term, at: Instant::now() };
        true
    }

    /// Time since the last call of the newest leader.
    pub(super) fn silence(&self) -> Duration {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).at.elapsed()
    }

    /// Term of the newest leader.
    pub(super) fn term(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).term
    }
}

/// Answers the leader for the rank beside this sidecar.
#[derive(Debug)]
pub(super) struct Agent<R: RankConnector> {
    pub(super) connector: Arc<R>,
    pub(super) rank: Arc<R::Client>,
    pub(super) watch: LeaderWatch,
}

impl<R: RankConnector> Agent<R> {
    fn admit(&self, term: u64) -> Result<(), RankError> {
        if self.watch.heard(term) { Ok(()) } else { Err(RankError::Fenced) }
    }
}

#[async_trait]
impl<R: RankConnector> RankRpcServer for Agent<R> {
    async fn state(&self, term: u64) -> Result<Result<RankState, RankError>, ErrorObjectOwned> {
        self.watch.heard(term);
        Ok(self.rank.state().await)
    }

    async fn counts(&self, term: u64) -> Result<Result<RankCounts, RankError>, ErrorObjectOwned> {
        self.watch.heard(term);
        Ok(self.rank.counts().await)
    }

    async fn held(
        &self,
        term: u64,
    ) -> Result<Result<Vec<HeldExperts>, RankError>, ErrorObjectOwned> {
        self.watch.heard(term);
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
