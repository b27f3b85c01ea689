use std::sync::Arc;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::GroupState;
use crate::direct::{Candidate, Upstream, estimate_loads};

/// The upstreams of a group that may get a request, with the state of the group.
#[derive(Debug)]
pub(in crate::direct) struct EligibleGroup<'a> {
    pub(in crate::direct) state: Arc<GroupState>,
    /// When the row that lists the group was first read; `None` for the group without a row.
    pub(in crate::direct) row_time: Option<Instant>,
    pub(in crate::direct) upstreams: SmallVec<[&'a Arc<Upstream>; 16]>,
    pub(in crate::direct) candidates: SmallVec<[Candidate; 16]>,
    pub(in crate::direct) loads: SmallVec<[f64; 16]>,
}

impl<'a> EligibleGroup<'a> {
    /// Gathers what is known of these upstreams of a group.
    pub(in crate::direct) fn new(
        state: Arc<GroupState>,
        row_time: Option<Instant>,
        upstreams: SmallVec<[&'a Arc<Upstream>; 16]>,
        now: Instant,
    ) -> Self {
        let candidates: SmallVec<[Candidate; 16]> =
            upstreams.iter().map(|upstream| upstream.candidate(&state.liveness, now)).collect();
        let loads = estimate_loads(&candidates);
        Self { state, row_time, upstreams, candidates, loads }
    }

    /// Returns the number of requests of this entry in flight at these upstreams.
    pub(in crate::direct) fn own_requests(&self) -> u32 {
        self.candidates.iter().map(|candidate| candidate.own).sum()
    }

    /// Returns the mean number of requests per upstream.
    pub(in crate::direct) fn mean_load(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64
    }
}
