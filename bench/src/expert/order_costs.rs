use std::fmt::Write;
use std::time::Instant;

use ebonyusher::remap::{
    GroupMap, HeldExperts, MapUpdate, PlacementLimits, RankCounts, improve_set,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Group sizes: ranks, sets of layers, experts per set, and places per rank and set.
const SIZES: [(usize, usize, usize, usize); 5] =
    [(12, 4, 72, 8), (63, 8, 252, 5), (72, 12, 144, 3), (129, 16, 258, 3), (256, 60, 256, 3)];
/// Experts of a set that one map may add to a rank.
const SPARE: usize = 3;
/// Price of a copy in skew, times the number of ranks.
const COPY_COST: f64 = 1.0;
/// Exponent of the power law by which the demand of experts falls with their popularity rank.
const SKEW: f64 = 1.3;
/// Tokens that a rank has counted for the most popular expert.
const MAX_TOKENS: f64 = 200_000.0;

/// Returns a table of what expert maps sent as orders cost at several group sizes: size of a whole map
/// and of the first plan's difference to the map of a new group, what the leader sends when the
/// difference is passed on, size of the counts of one rank, and time of a plan for all sets.
///
/// ```
/// let table = ebonyusher_bench::expert::order_costs(1);
/// assert_eq!(table.lines().count(), 7);
/// ```
pub fn order_costs(seed: u64) -> String {
    let mut table = "| ranks, sets, experts | whole map | difference | sent by the leader | counts of one rank | planning time |\n|---|---|---|---|---|---|\n".to_owned();
    for (ranks, sets, experts, places) in SIZES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limits = PlacementLimits { places, spare: SPARE, copy_cost: COPY_COST / ranks as f64 };
        let demand: Vec<Vec<f64>> = (0..sets).map(|_| shares(&mut rng, experts)).collect();
        let new = GroupMap::in_turn(sets, ranks, experts);
        let began = Instant::now();
        let planned: Vec<Vec<HeldExperts>> = demand
            .iter()
            .zip(&new.sets)
            .map(|(shares, held)| improve_set(held, shares, &limits).ranks)
            .collect();
        let plan_ms = began.elapsed().as_secs_f64() * 1e3;
        let planned = GroupMap { sets: planned }.into();
        let whole = kilobytes(&MapUpdate::between(None, &planned));
        let difference = kilobytes(&MapUpdate::between(Some(&new.into()), &planned));
        let sent = difference * ((ranks - 1) as f64).sqrt().ceil();
        let counts = demand.iter().flatten().map(|share| (share * MAX_TOKENS) as u64).collect();
        let counts = kilobytes(&RankCounts { epoch: 1, counts });
        writeln!(
            table,
            "| {ranks}, {sets}, {experts} | {whole:.1} KB | {difference:.1} KB | {sent:.0} KB | {counts:.1} KB | {plan_ms:.1} ms |"
        )
        .ok();
    }
    table
}

/// Returns the demand of each expert: a power law of popularity ranks that are drawn at random.
fn shares(rng: &mut SmallRng, experts: usize) -> Vec<f64> {
    (0..experts).map(|_| f64::from(rng.random_range(1..=experts as u32)).powf(-SKEW)).collect()
}

/// Returns the length of a message as JSON, in KB.
fn kilobytes(message: &impl serde::Serialize) -> f64 {
    serde_json::to_vec(message).map_or(f64::NAN, |text| text.len() as f64 / 1e3)
}
