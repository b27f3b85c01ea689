use std::net::SocketAddr;

use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{HeldExperts, RankCommand, RankCounts, RankError, RankState};

/// What the sidecar beside a rank offers to the group's leader. Each call names the leader's term.
#[rpc(server, client, namespace = "rank")]
pub trait RankRpc {
    /// Reads the rank's state.
    #[method(name = "state")]
    async fn state(&self, term: u64) -> Result<Result<RankState, RankError>, ErrorObjectOwned>;

    /// Reads what the rank counted.
    #[method(name = "counts")]
    async fn counts(&self, term: u64) -> Result<Result<RankCounts, RankError>, ErrorObjectOwned>;

    /// Reads what the rank holds.
    #[method(name = "held")]
    async fn held(
        &self,
        term: u64,
    ) -> Result<Result<Vec<HeldExperts>, RankError>, ErrorObjectOwned>;

    /// Gives an order to another rank, at an address, from this machine.
    #[method(name = "command-at")]
    async fn command_at(
        &self,
        term: u64,
        rank: SocketAddr,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned>;

    /// Gives the rank an order.
    #[method(name = "command")]
    async fn command(
        &self,
        term: u64,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned>;
}
