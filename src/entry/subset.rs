use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::Incarnation;
use crate::platform::Instance;

/// Picks the upstreams of one service that an entry keeps links to, at most `max` of them.
///
/// If there are more, half of `max` are picked from the nearest failure domains and the rest by a
/// hash of entry and instance alone. Enough upstreams therefore remain when a domain is lost, and
/// entries spread evenly over the upstreams. `distance` returns the distance of a failure domain.
///
/// ```
/// # use ebonyusher::{entry::pick_subset, id::Incarnation};
/// assert!(pick_subset(Incarnation::from_raw(1), &[], |_| 0, 16).is_empty());
/// ```
pub fn pick_subset<'a>(
    entry: Incarnation,
    instances: &[&'a Instance],
    distance: impl Fn(&str) -> usize,
    max: usize,
) -> Vec<&'a Instance> {
    if instances.len() <= max {
        return instances.to_vec();
    }
    let hash = |inst: &Instance| xxh3_64_with_seed(inst.name.as_bytes(), entry.raw());
    let mut by_hash = instances.to_vec();
    by_hash.sort_by_key(|inst| hash(inst));
    let mut by_distance = by_hash.clone();
    by_distance.sort_by_key(|inst| distance(&inst.domain));
    let mut picked: Vec<&Instance> = by_distance.into_iter().take(max / 2).collect();
    for inst in by_hash {
        if picked.len() == max {
            break;
        }
        if !picked.iter().any(|other| other.name == inst.name) {
            picked.push(inst);
        }
    }
    picked
}
