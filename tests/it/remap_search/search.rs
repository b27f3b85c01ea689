use std::collections::HashSet;

use super::state::State;
use super::variant::Variant;

/// Explores the reachable states with the next leader beside rank `local`. Returns the path to a
/// pass that begins under two maps, if there is one, and the number of states seen.
pub(super) fn search(variant: Variant, local: usize) -> (Option<Vec<State>>, usize) {
    let mut seen = HashSet::new();
    let mut states = vec![(State::new(local), 0)];
    let mut frontier = vec![0];
    while let Some(at) = frontier.pop() {
        for next in states[at].0.successors(variant) {
            if next.is_split() {
                return (Some(path_to(&states, at, next)), seen.len());
            }
            if seen.insert(next.clone()) {
                frontier.push(states.len());
                states.push((next, at));
            }
        }
    }
    (None, seen.len())
}

/// Returns the states from the initial one to `last`, a successor of the state at index `at`.
fn path_to(states: &[(State, usize)], mut at: usize, last: State) -> Vec<State> {
    let mut path = vec![last];
    while at > 0 {
        path.push(states[at].0.clone());
        at = states[at].1;
    }
    path.reverse();
    path
}
