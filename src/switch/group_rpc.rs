use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{
    EnterReply, MapId, Proposal, ProposalId, ProposalReply, RankReport, RankStats, StepCounts,
    Verdict, VoteStatus,
};

/// RPC interface of the sidecar beside a rank for leaders, other sidecars and the rank itself.
#[rpc(server, client, namespace = "group")]
pub trait GroupRpc {
    /// Has the rank fetch the weights that a map needs. Returns when it holds them, or `false` for
    /// an old fencing token.
    #[method(name = "prefetch")]
    async fn prefetch(&self, key: String, fence: u64, map: MapId)
    -> Result<bool, ErrorObjectOwned>;

    /// Asks for the rank's vote.
    #[method(name = "propose")]
    async fn propose(
        &self,
        key: String,
        proposal: Proposal,
    ) -> Result<ProposalReply, ErrorObjectOwned>;

    /// Asks for the rank's vote on an earlier proposal. From then on the rank never votes for a
    /// proposal that it has not voted for yet. `None` if the rank is not in the proposal's epoch.
    #[method(name = "ask")]
    async fn ask(
        &self,
        key: String,
        id: ProposalId,
    ) -> Result<Option<VoteStatus>, ErrorObjectOwned>;

    /// Reports the result of a vote.
    #[method(name = "settle")]
    async fn settle(
        &self,
        key: String,
        id: ProposalId,
        verdict: Verdict,
    ) -> Result<(), ErrorObjectOwned>;

    /// Stops the rank so that the group can form a new epoch; `None` for an old epoch.
    #[method(name = "freeze")]
    async fn freeze(&self, key: String, epoch: u64)
    -> Result<Option<RankReport>, ErrorObjectOwned>;

    /// Has the rank join the epoch that it was stopped for, in its incarnation `life`. Returns
    /// whether it has joined.
    #[method(name = "form")]
    async fn form(
        &self,
        key: String,
        life: u64,
        epoch: u64,
        map: MapId,
    ) -> Result<bool, ErrorObjectOwned>;

    /// The rank's view of its epoch.
    #[method(name = "report")]
    async fn report(&self, key: String) -> Result<RankReport, ErrorObjectOwned>;

    /// The rank's counts since the last call.
    #[method(name = "stats")]
    async fn stats(&self, key: String) -> Result<RankStats, ErrorObjectOwned>;

    /// Called by the rank to enter a step; reports what it counted in the step before.
    #[method(name = "enter")]
    async fn enter(
        &self,
        step: u64,
        counts: Option<StepCounts>,
    ) -> Result<EnterReply, ErrorObjectOwned>;
}
