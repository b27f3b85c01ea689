use super::{Mark, RankState};

/// What a leader does next to bring a group back to where no switch is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settle {
    /// No switch is under way.
    Quiet,
    /// Not all ranks are known, or the group is not whole: read again.
    Blocked,
    /// Have a rank hold the group before a pass.
    Hold { rank: usize, pass: u64 },
    /// Have ranks forget a switch, and give others an order that shuts out late ones.
    Withdraw { disarm: Vec<(usize, u64)>, fence: Vec<usize> },
    /// Let the group go on.
    Release(Vec<(usize, u64)>),
}

/// Decides how to undo what is left of a switch, whoever began it.
///
/// The group must not begin the pass of the switch while only some ranks are to switch. An earlier
/// leader may be frozen or its orders late, and may let the group go on at any moment, so the new
/// leader first holds the group by itself, at a rank of its choice. Only then does it disarm ranks,
/// has every rank refuse the earlier leader, and at last lets the group go on.
///
/// ```
/// # use ebonyusher::remap::{Settle, settle};
/// assert_eq!(settle(&[None], &[Default::default()], 0), Settle::Blocked);
/// ```
pub fn settle(states: &[Option<RankState>], marks: &[Mark], near: usize) -> Settle {
    let Some(states) = states.iter().copied().collect::<Option<Vec<RankState>>>() else {
        return Settle::Blocked;
    };
    let whole = states.iter().all(|state| state.open && state.epoch == states[0].epoch);
    if !whole {
        return Settle::Blocked;
    }
    let unsure = marks.iter().any(|mark| mark.unsure);
    let switching = states.iter().any(|state| !state.is_quiet());
    if !switching && !unsure {
        return Settle::Quiet;
    }
    if let Some(pass) = states.iter().filter_map(next_pass).min() {
        let held = states.iter().zip(marks).any(|(s, mark)| mark.holds && s.held == Some(pass));
        if !held {
            return hold(&states, pass, near);
        }
    }
    withdraw(&states, marks)
}

/// The first pass before which something of a switch lies.
fn next_pass(state: &RankState) -> Option<u64> {
    let armed = state.armed.map(|armed| armed.pass);
    [armed, state.held].into_iter().flatten().min()
}

fn hold(states: &[RankState], pass: u64, near: usize) -> Settle {
    let free = |rank: &usize| states.get(*rank).is_some_and(|state| state.held.is_none());
    let rank = Some(near).filter(free).or_else(|| (0..states.len()).find(free));
    rank.map_or(Settle::Blocked, |rank| Settle::Hold { rank, pass })
}

fn withdraw(states: &[RankState], marks: &[Mark]) -> Settle {
    let armed = states.iter().enumerate().filter_map(|(rank, state)| Some((rank, state.armed?)));
    let disarm: Vec<(usize, u64)> = armed.map(|(rank, armed)| (rank, armed.version)).collect();
    let open = |rank: &usize| marks[*rank].unsure || !marks[*rank].fenced;
    let fence: Vec<usize> =
        (0..states.len()).filter(|rank| states[*rank].armed.is_none()).filter(open).collect();
    if !disarm.is_empty() || !fence.is_empty() {
        return Settle::Withdraw { disarm, fence };
    }
    let held = states.iter().enumerate().filter_map(|(rank, state)| Some((rank, state.held?)));
    Settle::Release(held.collect())
}
