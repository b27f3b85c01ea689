use ebonyusher::membership::GroupName;
use ebonyusher::remap::{Armed, RankState};

use super::layout::{PASS, RANKS, VERSION};

/// The state that a rank reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Report {
    pub(super) armed: bool,
    pub(super) held: bool,
}

impl Report {
    /// Converts this to the input of [`next_settle_action`](ebonyusher::remap::next_settle_action).
    pub(super) fn rank_state(self, rank: usize) -> RankState {
        RankState {
            group: GroupName::default(),
            rank,
            size: RANKS,
            epoch: 1,
            open: true,
            pass: PASS - 1,
            map: 0,
            prepared: Some(VERSION),
            armed: self.armed.then_some(Armed { version: VERSION, pass: PASS }),
            held: self.held.then_some(PASS),
            running: 1,
            lag_ms: 0,
        }
    }
}
