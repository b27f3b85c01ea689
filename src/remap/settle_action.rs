use super::{OrderStatus, RankState};

/// Next action of a leader that undoes an unfinished switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleAction {
    /// No switch is under way.
    Quiet,
    /// Too few ranks are known, or the group is incomplete: read the states again.
    Blocked,
    /// Have a rank hold the group before a pass.
    Hold { rank: usize, pass: u64 },
    /// Have ranks refuse the orders of earlier leaders and late orders of this leader.
    Fence(Vec<usize>),
    /// Have ranks, given with the map version, cancel an armed switch.
    Disarm(Vec<(usize, u64)>),
    /// Have ranks let the group start a pass that they hold.
    Release(Vec<(usize, u64)>),
}

/// Decides the next action to undo an unfinished switch, whichever leader began it.
///
/// The group must not start the pass of the switch while only some ranks are armed. An earlier
/// leader may be frozen or its orders delayed, and may release the group at any moment. So the new
/// leader first holds the group itself, at a rank that does not hold it yet. Then it has every rank
/// refuse earlier orders, reads the states again, disarms the ranks, and releases the group.
///
/// `last_armed` names the ranks that are armed last, in their order, and disarmed first. Each is
/// armed only after all ranks before it have confirmed. Their machines may be frozen. So if a rank
/// before one of them refuses the earlier leader and is not armed, the later rank is not armed
/// either, never will be, and need not be reached. Nor need a rank that this leader knows not to be
/// armed.
///
/// ```
/// # use ebonyusher::remap::{SettleAction, next_settle_action};
/// let action = next_settle_action(&[None, None], &[Default::default(); 2], 0, &[]);
/// assert_eq!(action, SettleAction::Blocked);
/// ```
pub fn next_settle_action(
    states: &[Option<RankState>],
    statuses: &[OrderStatus],
    local: usize,
    last_armed: &[usize],
) -> SettleAction {
    let mut missing = (0..states.len()).filter(|rank| states[*rank].is_none());
    let absent = missing.next();
    let known_unarmed = |rank: usize| statuses[rank].unarmed && !statuses[rank].in_doubt;
    let may_be_missing = |rank: usize| last_armed.contains(&rank) || known_unarmed(rank);
    if missing.next().is_some() || absent.is_some_and(|rank| !may_be_missing(rank)) {
        return SettleAction::Blocked;
    }
    let absent = absent.filter(|rank| !known_unarmed(*rank));
    let known: Vec<(usize, &RankState)> = states
        .iter()
        .enumerate()
        .filter_map(|(rank, state)| Some((rank, state.as_ref()?)))
        .collect();
    let Some((_, first)) = known.first() else { return SettleAction::Blocked };
    if !known.iter().all(|(_, state)| state.open && state.epoch == first.epoch) {
        return SettleAction::Blocked;
    }
    let in_doubt = known.iter().any(|(rank, _)| statuses[*rank].in_doubt);
    let switching = known.iter().any(|(_, state)| !state.is_quiet());
    if !switching && !in_doubt {
        return SettleAction::Quiet;
    }
    if let Some(pass) = known.iter().filter_map(|(_, state)| next_pass(state)).min() {
        let held =
            |(rank, state): &(usize, &RankState)| statuses[*rank].holds && state.held == Some(pass);
        if !known.iter().any(held) {
            return hold(&known, pass, local);
        }
    }
    undo(&known, statuses, last_armed, absent)
}

/// First pass that a rank is to switch at or holds the group before.
fn next_pass(state: &RankState) -> Option<u64> {
    let armed = state.armed.map(|armed| armed.pass);
    [armed, state.held].into_iter().flatten().min()
}

/// Chooses the rank that is to hold the group: the local one, or another that does not hold it yet.
/// If all do, as after orders without an answer, one that holds it is ordered again, so that it
/// refuses an earlier leader's release.
fn hold(known: &[(usize, &RankState)], pass: u64, local: usize) -> SettleAction {
    let not_holding = |(_, state): &&(usize, &RankState)| state.held.is_none();
    let local = known.iter().filter(not_holding).find(|(rank, _)| *rank == local);
    let target = local.or(known.iter().find(not_holding));
    let again = || known.iter().find(|(_, state)| state.held == Some(pass));
    let rank = target.or_else(again);
    rank.map_or(SettleAction::Blocked, |(rank, _)| SettleAction::Hold { rank: *rank, pass })
}

/// Fences, then disarms, then releases the ranks, while the leader holds the group.
fn undo(
    known: &[(usize, &RankState)],
    statuses: &[OrderStatus],
    last_armed: &[usize],
    absent: Option<usize>,
) -> SettleAction {
    let unfenced = |rank: &usize| statuses[*rank].in_doubt || !statuses[*rank].fenced;
    let fence: Vec<usize> = known.iter().map(|(rank, _)| *rank).filter(unfenced).collect();
    if !fence.is_empty() {
        return SettleAction::Fence(fence);
    }
    let armed = known.iter().filter_map(|(rank, state)| Some((*rank, state.armed?.version)));
    let armed: Vec<(usize, u64)> = armed.collect();
    if let Some(at) = last_armed.iter().position(|rank| Some(*rank) == absent) {
        let mut before = known.iter().filter(|(rank, _)| !last_armed[at..].contains(rank));
        if before.all(|(_, state)| state.armed.is_some()) {
            // The absent rank may be armed as well.
            return SettleAction::Blocked;
        }
    }
    for end in last_armed.iter().rev() {
        if let Some(last) = armed.iter().find(|(rank, _)| rank == end) {
            return SettleAction::Disarm(vec![*last]);
        }
    }
    if !armed.is_empty() {
        return SettleAction::Disarm(armed);
    }
    let held = known.iter().filter_map(|(rank, state)| Some((*rank, state.held?)));
    SettleAction::Release(held.collect())
}
