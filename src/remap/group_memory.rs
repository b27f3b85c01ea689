use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::membership::GroupRow;

/// What a sidecar has learned about its group and its service in the course of several terms.
#[derive(Debug, Default)]
pub(super) struct GroupMemory(Mutex<Memory>);

#[derive(Debug, Default)]
struct Memory {
    members: Option<GroupRow>,
    has_others: bool,
}

impl GroupMemory {
    fn lock(&self) -> MutexGuard<'_, Memory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Members of the group when this process last assembled it.
    pub(super) fn members(&self) -> Option<GroupRow> {
        self.lock().members.clone()
    }

    pub(super) fn record_members(&self, row: &GroupRow) {
        self.lock().members = Some(row.clone());
    }

    /// Whether ranks of other groups were ever found among the service's upstreams.
    pub(super) fn has_others(&self) -> bool {
        self.lock().has_others
    }

    pub(super) fn record_others(&self) {
        self.lock().has_others = true;
    }
}
