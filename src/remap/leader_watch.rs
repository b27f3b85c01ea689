use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::LeaderTerm;
use crate::membership::GroupName;

/// Group of the rank beside this sidecar, and the last call of that group's leader. Clones share
/// them.
#[derive(Clone, Debug)]
pub(super) struct LeaderWatch(Arc<Mutex<LastCall>>);

#[derive(Clone, Debug)]
struct LastCall {
    /// Group that the rank last reported, `None` before its first report.
    group: Option<GroupName>,
    term: u64,
    at: Instant,
}

impl LeaderWatch {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(LastCall { group: None, term: 0, at: Instant::now() })))
    }

    fn lock(&self) -> MutexGuard<'_, LastCall> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the group that the rank reports. If it is another one than before, nothing is known
    /// of its leader.
    pub(super) fn set_group(&self, group: &GroupName) {
        let mut last = self.lock();
        if last.group.as_ref() != Some(group) {
            *last = LastCall { group: Some(group.clone()), term: 0, at: Instant::now() };
        }
    }

    /// Records a call from a leader, unless a later term is known or the leader is that of another
    /// group. Returns whether the call was recorded.
    pub(super) fn record_call(&self, leader: &LeaderTerm) -> bool {
        let mut last = self.lock();
        if last.group.as_ref() != Some(&leader.group) || leader.term < last.term {
            return false;
        }
        last.term = leader.term;
        last.at = Instant::now();
        true
    }

    /// Whether the rank was last seen in a group.
    pub(super) fn is_in(&self, group: &GroupName) -> bool {
        self.lock().group.as_ref() == Some(group)
    }

    /// Time since the last call from the leader of the latest known term.
    pub(super) fn silence(&self) -> Duration {
        self.lock().at.elapsed()
    }

    /// Latest known term of a group, `None` if the rank was last seen in another one.
    pub(super) fn term_of(&self, group: &GroupName) -> Option<u64> {
        let last = self.lock();
        (last.group.as_ref() == Some(group)).then_some(last.term)
    }
}
