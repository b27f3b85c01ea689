use super::leader::VersionRule;
use super::play::{Deviation, Ended, play};

/// Outcome of a search.
pub(super) struct Found {
    /// Number of runs played.
    pub(super) runs: usize,
    /// The first run with a split.
    pub(super) split: Option<Ended>,
}

/// Plays all runs with at most so many deviations, until one has a split.
pub(super) fn search(ranks: usize, rule: VersionRule, max_deviations: usize) -> Found {
    let mut found = Found { runs: 0, split: None };
    let mut frontier = vec![Vec::new()];
    while let Some(deviations) = frontier.pop() {
        let ended = play(ranks, rule, &deviations);
        found.runs += 1;
        if !ended.split_passes.is_empty() {
            found.split = Some(ended);
            break;
        }
        if deviations.len() < max_deviations {
            frontier.extend(extended(&deviations, &ended.choices));
        }
    }
    found
}

/// Returns the runs with one more deviation, later than all others.
fn extended(deviations: &[Deviation], choices: &[usize]) -> Vec<Vec<Deviation>> {
    let first = deviations.last().map_or(0, |last| last.at + 1);
    let later = choices.iter().enumerate().skip(first);
    let more =
        later.flat_map(|(at, count)| (1..*count).map(move |choice| Deviation { at, choice }));
    more.map(|deviation| [deviations, &[deviation]].concat()).collect()
}
