use std::collections::HashSet;

use super::variant::Variant;
use super::world::World;

/// The worlds on the way to a pass that begins under two maps, if there is one, and the number of
/// worlds seen.
pub(super) fn search(variant: Variant, next: usize) -> (Option<Vec<World>>, usize) {
    let mut seen = HashSet::new();
    let mut worlds = vec![(World::new(next), 0)];
    let mut open = vec![0];
    while let Some(at) = open.pop() {
        for next in worlds[at].0.successors(variant) {
            if next.is_split() {
                return (Some(way_to(&worlds, at, next)), seen.len());
            }
            if seen.insert(next.clone()) {
                open.push(worlds.len());
                worlds.push((next, at));
            }
        }
    }
    (None, seen.len())
}

fn way_to(worlds: &[(World, usize)], mut at: usize, last: World) -> Vec<World> {
    let mut way = vec![last];
    while at > 0 {
        way.push(worlds[at].0.clone());
        at = worlds[at].1;
    }
    way.reverse();
    way
}
