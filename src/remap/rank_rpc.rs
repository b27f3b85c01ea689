use std::net::SocketAddr;

use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};

use super::{HeldExperts, LeaderTerm, MapUpdate, RankCommand, RankCounts, RankError, RankState};

/// An order to copy the experts of a map that the sidecar knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PrepareOrder {
    /// Version that the map gets.
    pub version: u64,
    /// Digest of the map.
    pub digest: u64,
    /// Epoch of the group that the order is meant for.
    pub epoch: u64,
    /// Fencing token of the order.
    pub fence: u64,
}

/// RPC interface of the sidecar beside a rank for the group's leader. Each call carries the
/// leader's group and term.
#[rpc(server, client, namespace = "rank")]
pub trait RankRpc {
    /// Reads the rank's state.
    #[method(name = "state")]
    async fn state(
        &self,
        leader: LeaderTerm,
    ) -> Result<Result<RankState, RankError>, ErrorObjectOwned>;

    /// Reads the rank's state once it has copied the experts of a map, or after `max_wait_ms`.
    #[method(name = "prepared-state")]
    async fn prepared_state(
        &self,
        leader: LeaderTerm,
        version: u64,
        max_wait_ms: u64,
    ) -> Result<Result<RankState, RankError>, ErrorObjectOwned>;

    /// Makes a map known to this sidecar and to others, which get it from this one. Returns the
    /// number of these sidecars that do not know the map afterwards.
    #[method(name = "share-map")]
    async fn share_map(
        &self,
        leader: LeaderTerm,
        update: MapUpdate,
        others: Vec<SocketAddr>,
    ) -> Result<Result<usize, RankError>, ErrorObjectOwned>;

    /// Gives the rank the order to copy the experts of a map that the sidecar knows, named by its
    /// digest.
    #[method(name = "prepare")]
    async fn prepare(
        &self,
        leader: LeaderTerm,
        order: PrepareOrder,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned>;

    /// Reads the rank's token counts.
    #[method(name = "counts")]
    async fn counts(
        &self,
        leader: LeaderTerm,
    ) -> Result<Result<RankCounts, RankError>, ErrorObjectOwned>;

    /// Reads which experts the rank holds.
    #[method(name = "held")]
    async fn held(
        &self,
        leader: LeaderTerm,
    ) -> Result<Result<Vec<HeldExperts>, RankError>, ErrorObjectOwned>;

    /// Gives an order from this machine to another rank, named by its address.
    #[method(name = "command-at")]
    async fn command_at(
        &self,
        leader: LeaderTerm,
        rank: SocketAddr,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned>;

    /// Gives the rank an order.
    #[method(name = "command")]
    async fn command(
        &self,
        leader: LeaderTerm,
        command: RankCommand,
    ) -> Result<Result<(), RankError>, ErrorObjectOwned>;
}
