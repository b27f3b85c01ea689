use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{
    EnterReply, MapId, Proposal, ProposalId, ProposalReply, RankReport, RankStats, StepCounts,
    Verdict, VoteStatus,
};

/// What the sidecar beside a rank offers to leaders, to other sidecars and to the rank.
#[rpc(server, client, namespace = "group")]
pub trait GroupRpc {
    /// Has the rank hold what a map needs. Returns when it does; `false` for an old fencing number.
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

    /// Asks where the rank stands. What it has not voted for by now it will never vote for.
    /// Nothing if the rank is not of the proposal's epoch.
    #[method(name = "ask")]
    async fn ask(
        &self,
        key: String,
        id: ProposalId,
    ) -> Result<Option<VoteStatus>, ErrorObjectOwned>;

    /// Tells the result of a vote.
    #[method(name = "settle")]
    async fn settle(
        &self,
        key: String,
        id: ProposalId,
        verdict: Verdict,
    ) -> Result<(), ErrorObjectOwned>;

    /// Stops the rank for the group to be formed anew; nothing for an old epoch.
    #[method(name = "freeze")]
    async fn freeze(&self, key: String, epoch: u64)
    -> Result<Option<RankReport>, ErrorObjectOwned>;

    /// Has the rank join the epoch that it was stopped for.
    #[method(name = "form")]
    async fn form(
        &self,
        key: String,
        life: u64,
        epoch: u64,
        map: MapId,
    ) -> Result<bool, ErrorObjectOwned>;

    /// What the rank knows.
    #[method(name = "report")]
    async fn report(&self, key: String) -> Result<RankReport, ErrorObjectOwned>;

    /// What the rank counted since the last call.
    #[method(name = "stats")]
    async fn stats(&self, key: String) -> Result<RankStats, ErrorObjectOwned>;

    /// The rank asks to enter a step, and tells what it counted in the step before.
    #[method(name = "enter")]
    async fn enter(
        &self,
        step: u64,
        counts: Option<StepCounts>,
    ) -> Result<EnterReply, ErrorObjectOwned>;
}
