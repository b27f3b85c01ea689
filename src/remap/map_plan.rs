use tokio::task::yield_now;

use super::{Demand, GroupMap, PlacementLimits, improve_set};

/// A map to switch to, its cost and its effect.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MapPlan {
    pub(super) map: GroupMap,
    /// Number of experts that ranks must copy.
    pub(super) copies: usize,
    /// Skew under the present map: load of the most loaded rank over the mean load, averaged over
    /// the sets. A set without readings counts as 1.
    pub(super) before: f64,
    /// The same under the planned map.
    pub(super) after: f64,
}

/// Plans a map set by set, and yields to other tasks of the process after each.
pub(super) async fn plan_map(map: &GroupMap, demand: &Demand, limits: &PlacementLimits) -> MapPlan {
    let sets = map.sets.len().max(1) as f64;
    let mut plan = MapPlan { map: map.clone(), copies: 0, before: 0.0, after: 0.0 };
    for (set, ranks) in map.sets.iter().enumerate() {
        let Some(shares) = demand.shares(set) else {
            plan.before += 1.0 / sets;
            plan.after += 1.0 / sets;
            continue;
        };
        let better = improve_set(ranks, shares, limits);
        plan.before += better.before / sets;
        plan.after += better.after / sets;
        plan.copies += better.copies;
        plan.map.sets[set] = better.ranks;
        yield_now().await;
    }
    plan
}
