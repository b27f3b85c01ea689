use std::sync::{Arc, Mutex, PoisonError};

use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;

use super::{
    EnterReply, GroupRpcServer, MapId, MapStore, Proposal, ProposalId, ProposalReply, RankReport,
    RankStats, StepCounts, StepGate, Verdict, VoteRefusal, VoteStatus, WeightPrefetcher,
};
use crate::lease::FenceGate;
use crate::metrics::{Event, Meter};
use crate::peer::SettingsServer;
use crate::platform::ObjectStore;

/// JSON-RPC error code for a store or an engine that does not answer, or a map that the store
/// lacks.
const UNAVAILABLE_CODE: i32 = -32_002;

/// Serves [`GroupRpcServer`] for the rank beside this sidecar.
#[derive(Clone, Debug)]
pub struct RankServer<P, W> {
    auth: SettingsServer,
    gate: Arc<StepGate>,
    fences: Arc<FenceGate>,
    maps: MapStore<P>,
    weights: Arc<W>,
    /// Maps whose weights the rank has fetched.
    held: Arc<Mutex<Vec<MapId>>>,
    meter: Arc<Meter>,
}

impl<P: ObjectStore, W: WeightPrefetcher> RankServer<P, W> {
    /// A server for callers that know the link key. `fences` opens with the fencing token in the
    /// lease's row, so that a restarted sidecar accepts no order with an older token.
    pub fn new(
        auth: SettingsServer,
        gate: Arc<StepGate>,
        fences: Arc<FenceGate>,
        maps: MapStore<P>,
        weights: W,
        meter: Arc<Meter>,
    ) -> Self {
        let weights = Arc::new(weights);
        Self { auth, gate, fences, maps, weights, held: Arc::default(), meter }
    }

    fn admit_fence(&self, fence: u64) -> bool {
        let admitted = self.fences.admit(fence);
        if !admitted {
            self.meter.count(Event::FenceRefused);
        }
        admitted
    }

    fn holds(&self, map: MapId) -> bool {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).contains(&map)
    }
}

fn unavailable(what: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAVAILABLE_CODE, what.to_owned(), None::<()>)
}

#[async_trait]
impl<P: ObjectStore, W: WeightPrefetcher> GroupRpcServer for RankServer<P, W> {
    async fn prefetch(
        &self,
        key: String,
        fence: u64,
        map: MapId,
    ) -> Result<bool, ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        if !self.admit_fence(fence) {
            return Ok(false);
        }
        if self.holds(map) {
            return Ok(true);
        }
        let read = self.maps.read(map).await.map_err(|_| unavailable("store"))?;
        let layers = read.ok_or_else(|| unavailable("map"))?.layers;
        let fetched = self.weights.prefetch(fence, map, &layers).await;
        fetched.map_err(|_| unavailable("engine"))?;
        self.held.lock().unwrap_or_else(PoisonError::into_inner).push(map);
        Ok(true)
    }

    async fn propose(
        &self,
        key: String,
        proposal: Proposal,
    ) -> Result<ProposalReply, ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        if !self.admit_fence(proposal.id.fence) {
            return Ok(ProposalReply::Refused(VoteRefusal::Fence));
        }
        Ok(self.gate.propose(&proposal, self.holds(proposal.map)))
    }

    async fn ask(
        &self,
        key: String,
        id: ProposalId,
    ) -> Result<Option<VoteStatus>, ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        Ok(self.gate.ask(id))
    }

    async fn settle(
        &self,
        key: String,
        id: ProposalId,
        verdict: Verdict,
    ) -> Result<(), ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        self.gate.settle(id, verdict);
        Ok(())
    }

    async fn freeze(
        &self,
        key: String,
        epoch: u64,
    ) -> Result<Option<RankReport>, ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        Ok(if self.admit_fence(epoch) { self.gate.freeze(epoch) } else { None })
    }

    async fn form(
        &self,
        key: String,
        life: u64,
        epoch: u64,
        map: MapId,
    ) -> Result<bool, ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        Ok(self.gate.form(life, epoch, map))
    }

    async fn report(&self, key: String) -> Result<RankReport, ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        Ok(self.gate.report())
    }

    async fn stats(&self, key: String) -> Result<RankStats, ErrorObjectOwned> {
        self.auth.authorize(&key)?;
        Ok(self.gate.take_stats())
    }

    async fn enter(
        &self,
        step: u64,
        counts: Option<StepCounts>,
    ) -> Result<EnterReply, ErrorObjectOwned> {
        Ok(self.gate.enter(step, counts).await)
    }
}
