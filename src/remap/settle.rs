use super::{Mark, RankState};

/// What a leader does next to bring a group back to where no switch is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settle {
    /// No switch is under way.
    Quiet,
    /// Not enough ranks are known, or the group is not whole: read again.
    Blocked,
    /// Have a rank hold the group before a pass.
    Hold { rank: usize, pass: u64 },
    /// Have ranks refuse the orders of earlier leaders, and late ones of this leader.
    Fence(Vec<usize>),
    /// Have ranks forget a switch to a version.
    Disarm(Vec<(usize, u64)>),
    /// Let the group go on.
    Release(Vec<(usize, u64)>),
}

/// Decides how to undo what is left of a switch, whoever began it.
///
/// The group must not begin the pass of the switch while only some ranks are to switch. An earlier
/// leader may be frozen or its orders late, and may let the group go on at any moment. So the new
/// leader first holds the group by itself, at a rank that does not hold it yet. Then it has every
/// rank refuse what was ordered before, reads again, disarms ranks, and lets the group go on.
///
/// `ends` names the ranks that are armed last, in their order, and disarmed first: each only once all
/// before it have confirmed. Their machines may be frozen. So if a rank before one of them, once it
/// refuses the earlier leader, is not armed, that one is not armed either and never will be, and it
/// need not be reached. Neither need one that this leader knows not to be armed.
///
/// ```
/// # use ebonyusher::remap::{Settle, settle};
/// assert_eq!(settle(&[None, None], &[Default::default(); 2], 0, &[]), Settle::Blocked);
/// ```
pub fn settle(states: &[Option<RankState>], marks: &[Mark], near: usize, ends: &[usize]) -> Settle {
    let mut missing = (0..states.len()).filter(|rank| states[*rank].is_none());
    let absent = missing.next();
    let is_settled = |rank: usize| marks[rank].unarmed && !marks[rank].unsure;
    let may_lack = |rank: usize| ends.contains(&rank) || is_settled(rank);
    if missing.next().is_some() || absent.is_some_and(|rank| !may_lack(rank)) {
        return Settle::Blocked;
    }
    let absent = absent.filter(|rank| !is_settled(*rank));
    let known: Vec<(usize, RankState)> =
        states.iter().enumerate().filter_map(|(rank, state)| Some((rank, (*state)?))).collect();
    let Some((_, first)) = known.first() else { return Settle::Blocked };
    if !known.iter().all(|(_, state)| state.open && state.epoch == first.epoch) {
        return Settle::Blocked;
    }
    let unsure = known.iter().any(|(rank, _)| marks[*rank].unsure);
    let switching = known.iter().any(|(_, state)| !state.is_quiet());
    if !switching && !unsure {
        return Settle::Quiet;
    }
    if let Some(pass) = known.iter().filter_map(|(_, state)| next_pass(state)).min() {
        let held =
            |(rank, state): &(usize, RankState)| marks[*rank].holds && state.held == Some(pass);
        if !known.iter().any(held) {
            return hold(&known, pass, near);
        }
    }
    withdraw(&known, marks, ends, absent)
}

/// The first pass before which something of a switch lies.
fn next_pass(state: &RankState) -> Option<u64> {
    let armed = state.armed.map(|armed| armed.pass);
    [armed, state.held].into_iter().flatten().min()
}

/// Chooses the rank that is to hold: the near one or another that does not hold yet. If all do, as
/// after orders without an answer, one is told again: it then refuses an earlier leader's release.
fn hold(known: &[(usize, RankState)], pass: u64, near: usize) -> Settle {
    let free = |(_, state): &&(usize, RankState)| state.held.is_none();
    let near = known.iter().filter(free).find(|(rank, _)| *rank == near);
    let free = near.or(known.iter().find(free));
    let again = || known.iter().find(|(_, state)| state.held == Some(pass));
    let rank = free.or_else(again);
    rank.map_or(Settle::Blocked, |(rank, _)| Settle::Hold { rank: *rank, pass })
}

fn withdraw(
    known: &[(usize, RankState)],
    marks: &[Mark],
    ends: &[usize],
    absent: Option<usize>,
) -> Settle {
    let open = |rank: &usize| marks[*rank].unsure || !marks[*rank].fenced;
    let fence: Vec<usize> = known.iter().map(|(rank, _)| *rank).filter(open).collect();
    if !fence.is_empty() {
        return Settle::Fence(fence);
    }
    let armed = known.iter().filter_map(|(rank, state)| Some((*rank, state.armed?.version)));
    let armed: Vec<(usize, u64)> = armed.collect();
    if let Some(at) = ends.iter().position(|rank| Some(*rank) == absent) {
        let mut before = known.iter().filter(|(rank, _)| !ends[at..].contains(rank));
        if before.all(|(_, state)| state.armed.is_some()) {
            // The rank that is not known may be armed as well.
            return Settle::Blocked;
        }
    }
    for end in ends.iter().rev() {
        if let Some(last) = armed.iter().find(|(rank, _)| rank == end) {
            return Settle::Disarm(vec![*last]);
        }
    }
    if !armed.is_empty() {
        return Settle::Disarm(armed);
    }
    let held = known.iter().filter_map(|(rank, state)| Some((*rank, state.held?)));
    Settle::Release(held.collect())
}
