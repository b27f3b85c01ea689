use serde::{Deserialize, Serialize};

use super::{MapId, Proposal, ProposalId};

/// What a rank knows of the present epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RankReport {
    /// The process's present life, as a number.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Epoch, 0 for a rank that has just started.
    pub epoch: u64,
    /// Last step that the rank was let into.
    pub step: u64,
    /// Map in force.
    pub map: MapId,
    /// Proposal that the rank has voted for and that is not in force yet.
    pub open: Option<Proposal>,
    /// Whether that one is known to have all votes.
    pub committed: bool,
    /// Proposals up to this one are settled or will never be voted for.
    pub closed: ProposalId,
}

/// The map that a new epoch starts from, so that no map that may have been decided is undone: the
/// latest one in force at any rank, and beyond it a proposal that may have had all votes.
///
/// A rank that has been lost may have known that a vote was unanimous. That can be so only if all
/// remaining ranks of the latest epoch voted for it.
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
    let decided = open.max_by_key(|open| open.id).filter(|open| {
        let known = latest.iter().any(|report| report.open == Some(*open) && report.committed);
        known || latest.iter().all(|report| report.open == Some(*open))
    });
    decided.map_or(map, |open| open.map)
}
