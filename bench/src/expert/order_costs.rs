use std::fmt::Write;
use std::time::Instant;

use ebonyusher::remap::{
    GroupMap, HeldExperts, PlacementLimits, RankCommand, RankCounts, RankOrder, improve_set,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Group sizes: ranks, sets of layers, experts per set.
const SIZES: [(usize, usize, usize); 3] = [(12, 4, 72), (63, 8, 252), (256, 60, 256)];
const LIMITS: PlacementLimits = PlacementLimits { places: 8, spare: 3, copy_cost: 0.04 };
/// Exponent of the power law by which the demand of experts falls with their popularity rank.
const SKEW: f64 = 1.3;
/// Tokens that a rank has counted for the most popular expert.
const MAX_TOKENS: f64 = 200_000.0;

/// Returns a table of what expert maps sent as orders cost at several group sizes: size of a map for
/// one sidecar and for all but the leader's, size of the counts of one rank, and time of a plan for
/// all sets. Each rank has its own sidecar here.
///
/// ```
/// let table = ebonyusher_bench::expert::order_costs(1);
/// assert_eq!(table.lines().count(), 5);
/// ```
pub fn order_costs(seed: u64) -> String {
    let mut table = "| ranks, sets, experts | map to one sidecar | map to all sidecars | counts of one rank | planning time |\n|---|---|---|---|---|\n".to_owned();
    for (ranks, sets, experts) in SIZES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let demand: Vec<Vec<f64>> = (0..sets).map(|_| shares(&mut rng, experts)).collect();
        let began = Instant::now();
        let planned: Vec<Vec<HeldExperts>> = demand
            .iter()
            .map(|shares| improve_set(&round_robin(ranks, experts), shares, &LIMITS).ranks)
            .collect();
        let plan_ms = began.elapsed().as_secs_f64() * 1e3;
        let order = RankOrder::Prepare { version: 1_000, map: GroupMap { sets: planned }.into() };
        let map = kilobytes(&RankCommand { order, epoch: 1, fence: 1 << 30 });
        let counts = demand.iter().flatten().map(|share| (share * MAX_TOKENS) as u64).collect();
        let counts = kilobytes(&RankCounts { epoch: 1, counts });
        let all = map * (ranks - 1) as f64;
        writeln!(
            table,
            "| {ranks}, {sets}, {experts} | {map:.1} KB | {all:.0} KB | {counts:.1} KB | {plan_ms:.1} ms |"
        )
        .ok();
    }
    table
}

/// Returns the demand of each expert: a power law of popularity ranks that are drawn at random.
fn shares(rng: &mut SmallRng, experts: usize) -> Vec<f64> {
    (0..experts).map(|_| f64::from(rng.random_range(1..=experts as u32)).powf(-SKEW)).collect()
}

/// Assigns each expert to one rank, in turn.
fn round_robin(ranks: usize, experts: usize) -> Vec<HeldExperts> {
    let of_rank = |rank: usize| (rank..experts).step_by(ranks).map(|expert| expert as u16);
    (0..ranks).map(|rank| of_rank(rank).collect()).collect()
}

/// Returns the length of a message as JSON, in KB.
fn kilobytes(message: &impl serde::Serialize) -> f64 {
    serde_json::to_vec(message).map_or(f64::NAN, |text| text.len() as f64 / 1e3)
}
