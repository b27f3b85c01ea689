//! The planner of expert maps for groups that step in lock-step.

use ebonyusher::group::{ExpertMap, GroupWeights, Planner, PlannerOptions, Shape};
use proptest::prelude::*;

fn shape(ranks: usize, slots: usize, experts: usize) -> Shape {
    Shape { ranks, experts, slots, layers: 2, expert_bytes: 1 }
}

fn any_shape() -> impl Strategy<Value = Shape> {
    (2_usize..10, 1_usize..4, 2_usize..16).prop_filter_map(
        "too few slots for the experts",
        |(ranks, slots, experts)| {
            (slots <= experts && ranks * slots >= experts).then(|| shape(ranks, slots, experts))
        },
    )
}

fn observe(planner: &mut Planner, map: &ExpertMap, tokens: &[f64], speeds: &[f64]) {
    for layer in 0..map.layers.len() {
        let loads = map.layers[layer].loads(tokens);
        let times: Vec<f64> = loads.iter().zip(speeds).map(|(load, speed)| load / speed).collect();
        planner.observe(layer, tokens, &loads, &times);
    }
}

/// Returns the time of a step: the sum over the layers of the time of the slowest rank.
fn step_time(map: &ExpertMap, tokens: &[f64], speeds: &[f64]) -> f64 {
    let slowest_rank_time = |layer: usize| {
        let loads = map.layers[layer].loads(tokens);
        let times = loads.iter().zip(speeds).map(|(load, speed)| load / speed);
        times.fold(0.0, f64::max)
    };
    (0..map.layers.len()).map(slowest_rank_time).sum()
}

/// Plans until no further switch is worthwhile.
fn plan_until_stable(
    planner: &mut Planner,
    shape: &Shape,
    tokens: &[f64],
    speeds: &[f64],
) -> ExpertMap {
    let mut map = ExpertMap::initial(shape);
    for _ in 0..200 {
        (0..20).for_each(|_| observe(planner, &map, tokens, speeds));
        let Some(plan) = planner.plan(&map, 16) else {
            break;
        };
        map = plan.map;
    }
    map
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn a_plan_is_valid_within_its_budget_and_no_worse(
        shape in any_shape(),
        weights in prop::collection::vec(0.0_f64..100.0, 16),
        budget in 0_usize..8,
    ) {
        let tokens = &weights[..shape.experts];
        let speeds = vec![1.0; shape.ranks];
        let mut map = ExpertMap::initial(&shape);
        let mut planner = Planner::new(shape, PlannerOptions::default());
        for _ in 0..6 {
            observe(&mut planner, &map, tokens, &speeds);
            let Some(plan) = planner.plan(&map, budget) else { break };
            prop_assert_eq!(plan.map.check(&shape), Ok(()));
            prop_assert!(plan.moves.len() <= budget);
            let fetches: usize = plan
                .map
                .layers
                .iter()
                .zip(&map.layers)
                .map(|(new, old)| new.fetches_from(old))
                .sum();
            prop_assert!(fetches <= plan.moves.len());
            let (before, after) =
                (step_time(&map, tokens, &speeds), step_time(&plan.map, tokens, &speeds));
            prop_assert!(after <= before * 1.02 + 1e-6, "{} after {}", after, before);
            map = plan.map;
        }
    }

    #[test]
    fn the_same_input_gives_the_same_plan(
        shape in any_shape(),
        weights in prop::collection::vec(0.0_f64..100.0, 16),
    ) {
        let tokens = &weights[..shape.experts];
        let speeds = vec![1.0; shape.ranks];
        let map = ExpertMap::initial(&shape);
        let plan = || {
            let mut planner = Planner::new(shape, PlannerOptions::default());
            observe(&mut planner, &map, tokens, &speeds);
            planner.plan(&map, 8)
        };

        prop_assert_eq!(plan(), plan());
    }
}

#[test]
fn a_hot_expert_gets_copies_until_the_ranks_are_balanced() {
    let shape = shape(8, 3, 16);
    let mut tokens = vec![10.0; 16];
    tokens[3] = 400.0;
    let speeds = vec![1.0; 8];
    let mut planner = Planner::new(shape, PlannerOptions::default());

    let map = plan_until_stable(&mut planner, &shape, &tokens, &speeds);

    // `step_time` is the sum over the two layers of `shape`.
    let ideal = tokens.iter().sum::<f64>() / 8.0;
    assert!(step_time(&map, &tokens, &speeds) / 2.0 / ideal < 1.1);
}

#[test]
fn a_slow_rank_gets_less_load() {
    let shape = shape(8, 4, 16);
    let tokens = vec![10.0; 16];
    let mut speeds = vec![1.0; 8];
    speeds[5] = 0.5;
    let mut planner = Planner::new(shape, PlannerOptions::default());

    let map = plan_until_stable(&mut planner, &shape, &tokens, &speeds);

    // `step_time` is the sum over the two layers of `shape`.
    let ideal = tokens.iter().sum::<f64>() / speeds.iter().sum::<f64>();
    assert!(step_time(&map, &tokens, &speeds) / 2.0 / ideal < 1.1);
}

#[test]
fn a_higher_weight_of_moves_gives_fewer_moves() {
    let shape = shape(16, 3, 32);
    let tokens: Vec<f64> = (1..=32).map(|position| 1_000.0 / f64::from(position)).collect();
    let moves = |moves: f64| {
        let weights = GroupWeights { skew: 1.0, moves };
        let options = PlannerOptions { weights, ..PlannerOptions::default() };
        let mut planner = Planner::new(shape, options);
        let map = plan_until_stable(&mut planner, &shape, &tokens, &[1.0; 16]);
        let start = ExpertMap::initial(&shape);
        map.layers.iter().zip(&start.layers).map(|(new, old)| new.fetches_from(old)).sum::<usize>()
    };

    assert!(moves(1_000.0) < moves(0.1));
}
