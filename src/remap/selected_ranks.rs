use super::{FoundRank, armed_last};
use crate::membership::{GroupName, GroupRow};

/// Ranks of one group in one epoch, selected among a service's upstreams.
#[derive(Clone, Debug)]
pub struct SelectedRanks<P> {
    /// Epoch of the group.
    pub epoch: u64,
    /// Whether ranks of other groups were found.
    pub has_others: bool,
    /// Ids and clients by the ranks' positions.
    ranks: Vec<Option<(String, P)>>,
    /// Ids and clients of upstreams that gave no state. They may be of any group.
    silent: Vec<(String, P)>,
}

impl<P> SelectedRanks<P> {
    /// Selects the ranks that report a group. Ranks of other groups are left out. Returns `None` if
    /// the group is not running or no rank reports it.
    pub fn new(found: Vec<FoundRank<P>>, group: &GroupName) -> Option<Self> {
        let states = found.iter().filter_map(|rank| rank.state.as_ref());
        let has_others = states.clone().any(|state| state.group != *group);
        let first = states.clone().find(|state| state.group == *group)?;
        let (size, epoch) = (first.size, first.epoch);
        let mut ranks: Vec<Option<(String, P)>> = (0..size).map(|_| None).collect();
        let mut silent = Vec::new();
        for FoundRank { id, state, client } in found {
            match state {
                Some(state) if state.group != *group => {}
                Some(state) if state.epoch == epoch && state.open => {
                    *ranks.get_mut(state.rank)? = Some((id, client));
                }
                Some(_) => return None,
                None => silent.push((id, client)),
            }
        }
        Some(Self { epoch, has_others, ranks, silent })
    }

    /// Number of ranks of the group.
    pub const fn size(&self) -> usize {
        self.ranks.len()
    }

    /// Whether all ranks are in place.
    pub fn is_complete(&self) -> bool {
        self.ranks.iter().all(Option::is_some)
    }

    /// Returns the only rank that gave no state, if a switch can be undone without it: the leader
    /// beside the rank `switcher`, the last that may have begun one, arms it last.
    pub fn absent(&self, switcher: Option<usize>) -> Option<usize> {
        let mut absent = (0..self.size()).filter(|rank| self.ranks[*rank].is_none());
        let (absent, None) = (absent.next()?, absent.next()) else { return None };
        let last_armed = armed_last(switcher?, self.size());
        (last_armed.contains(&absent) && !self.silent.is_empty()).then_some(absent)
    }

    /// Puts the only silent upstream in the place of a rank. Returns whether there is only one and
    /// it can't be of another group, since none was found.
    pub fn place_only_silent(&mut self, absent: usize) -> bool {
        let is_clear = !self.has_others && self.silent.len() == 1;
        if is_clear {
            self.ranks[absent] = self.silent.pop();
        }
        is_clear
    }

    /// Puts the silent upstream that a row names in the place of a rank, if the row is of this epoch
    /// and names all other ranks as they were found. Returns whether it did.
    pub fn place_listed(&mut self, absent: usize, row: &GroupRow) -> bool {
        let agrees = |(rank, id): (usize, &String)| {
            rank == absent || self.ranks[rank].as_ref().is_some_and(|(found, _)| found == id)
        };
        if row.epoch != self.epoch || row.members.len() != self.size() {
            return false;
        }
        if !row.members.iter().enumerate().all(agrees) {
            return false;
        }
        let listed = self.silent.iter().position(|(id, _)| *id == row.members[absent]);
        let Some(at) = listed else { return false };
        self.ranks[absent] = Some(self.silent.swap_remove(at));
        true
    }

    /// Ids and clients in the order of the ranks' positions, `None` if the group is incomplete.
    pub fn complete(self) -> Option<Vec<(String, P)>> {
        self.ranks.into_iter().collect()
    }
}
