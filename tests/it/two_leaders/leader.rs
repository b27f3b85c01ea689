use std::sync::Arc;

use ebonyusher::membership::GroupName;
use ebonyusher::remap::{
    GroupMap, HeldExperts, RankSet, RankState, SharedMap, SwitchError, armed_last, first_fence,
    settle_switch, switch,
};
use smallvec::smallvec;

use super::client::QueuedClient;
use super::world::World;

/// Number of maps that a leader tries to switch to.
const MAX_SWITCHES: usize = 2;

/// How a leader chooses the version of a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionRule {
    /// As the sidecars do.
    Taken,
    /// The one after the greatest that the ranks report. Two leaders may choose the same.
    AfterReported,
}

/// The earlier leader and the next one, by number.
pub(super) const LEADERS: usize = 2;

/// Leads the group from beside the rank of its number for a term of its own: undoes what is left of
/// an earlier switch, and switches to maps that no other leader plans.
pub(super) async fn lead(world: Arc<World>, number: usize, rule: VersionRule) {
    let size = world.group.size();
    let client = |rank| QueuedClient { world: Arc::clone(&world), leader: number, rank };
    let fence = first_fence(number as u64 + 1);
    let clients = (0..size).map(client).collect();
    let mut ranks = RankSet::new(clients, GroupName::default(), 1, fence);
    // The earlier leader is beside rank 0.
    let mut last_armed = if number == 0 { smallvec![] } else { armed_last(0, size) };
    for at in 0..MAX_SWITCHES {
        if settle_switch(&mut ranks, number, &last_armed).await.is_err() {
            return;
        }
        let map = SharedMap::from(planned(number, at));
        let Some(version) = choose(&mut ranks, rule).await else { return };
        match switch(&mut ranks, number, version, &map).await {
            Ok(_) => return,
            Err(SwitchError::Deposed) => return,
            Err(SwitchError::Failed(..)) => last_armed = armed_last(number, size),
        }
    }
}

async fn choose(ranks: &mut RankSet<QueuedClient>, rule: VersionRule) -> Option<u64> {
    match rule {
        VersionRule::Taken => Some(ranks.new_version()),
        VersionRule::AfterReported => {
            let states = ranks.states().await;
            states.iter().flatten().map(RankState::last_version).max().map(|last| last + 1)
        }
    }
}

/// A map that differs for each leader and each of its switches.
fn planned(leader: usize, at: usize) -> GroupMap {
    let held: HeldExperts = smallvec![(leader * MAX_SWITCHES + at) as u16];
    GroupMap { sets: vec![vec![held]] }
}
