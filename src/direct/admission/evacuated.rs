use std::sync::Arc;

use smallvec::SmallVec;

use crate::direct::Upstream;
use crate::direct::attempts::AttemptHistory;
use crate::direct::dispatcher::Dispatcher;
use crate::outcome::{Reason, Refusal};

impl Dispatcher {
    /// Drops the upstreams in evacuated failure domains. Refuses the request if that leaves none.
    pub(super) fn drop_evacuated(
        &self,
        eligible: &mut SmallVec<[&Arc<Upstream>; 16]>,
        history: &AttemptHistory,
    ) -> Result<(), Refusal> {
        if eligible.is_empty() || self.evacuations.is_empty() {
            return Ok(());
        }
        eligible.retain(|upstream| !self.evacuations.contains(&upstream.listed.domain));
        if eligible.is_empty() { Err(history.refusal(Reason::Evacuated)) } else { Ok(()) }
    }
}
