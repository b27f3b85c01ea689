use serde::{Deserialize, Serialize};

use super::{MapId, Proposal, ProposalId};

/// A rank's view of its epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RankReport {
    /// Incarnation of the process, as a number.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Epoch of the rank, 0 if it has just started.
    pub epoch: u64,
    /// Last step that the rank was allowed to enter.
    pub step: u64,
    /// Map in force at the rank.
    pub map: MapId,
    /// Proposal that the rank has voted for and whose map is not in force yet.
    pub open: Option<Proposal>,
    /// Whether the open proposal is known to have all votes.
    pub committed: bool,
    /// Greatest proposal up to which all are settled or will never get this rank's vote.
    pub closed: ProposalId,
}

/// Chooses the map that a new epoch starts from, so that no map that may have been committed is
/// undone: the latest map in force at any rank, or a later proposal that may have had all votes.
///
/// A lost rank may have known that a vote was unanimous. This is possible only if all remaining
/// ranks of the latest epoch voted for the proposal.
///
/// ```
/// # use ebonyusher::switch::{MapId, RankReport, choose_map};
/// let late = RankReport { epoch: 1, map: MapId { version: 2, fence: 1 }, ..Default::default() };
/// assert_eq!(choose_map(&[RankReport::default(), late]), late.map);
/// ```
pub fn choose_map(reports: &[RankReport]) -> MapId {
    let epoch = reports.iter().map(|report| report.epoch).max().unwrap_or_default();
    let latest: Vec<&RankReport> = reports.iter().filter(|report| report.epoch == epoch).collect();
    let map = latest.iter().map(|report| report.map).max().unwrap_or_default();
    let open = latest.iter().filter_map(|report| report.open).filter(|open| open.base == map);
    let committed = open.max_by_key(|open| open.id).filter(|open| {
        let known = latest.iter().any(|report| report.open == Some(*open) && report.committed);
        known || latest.iter().all(|report| report.open == Some(*open))
    });
    committed.map_or(map, |open| open.map)
}
