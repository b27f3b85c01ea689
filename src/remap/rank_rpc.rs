use std::net::SocketAddr;

use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{HeldExperts, RankCommand, RankCounts, RankError, RankState};

/// RPC interface of the sidecar beside a rank for the group's leader. Each call carries the
/// leader's term.
#[rpc(server, client, namespace = "rank")]
pub trait RankRpc {
    /// Reads the rank's state.
    #[method(name = "state")]
    async fn state(&self, term: u64) -> Result<Result<RankState, RankError>, ErrorObjectOwned>;

    /// Reads the rank's token counts.
    #[method(name = "counts")]
    async fn counts(&self, term: u64) -> Result<Result<RankCounts, RankError>, ErrorObjectOwned>;

    /// Reads which experts the rank holds.
    #[method(name = "held")]
    async fn held(
        &self,
        term: u64,
    ) -> Result<Result<Vec<HeldExperts>, RankError>, ErrorObjectOwned>;

    /// Gives an order from this machine to another rank, named by its address.
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
