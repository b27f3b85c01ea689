//! Parts of the planning and switching of expert maps.

use ebonyusher::membership::GroupName;
use ebonyusher::remap::{
    Armed, Demand, GroupMap, HeldExperts, OrderStatus, PlacementLimits, RankCommand, RankCounts,
    RankOrder, RankState, SettleAction, improve_set, next_settle_action,
};
use proptest::prelude::*;

fn maps() -> impl Strategy<Value = GroupMap> {
    let held = prop::collection::vec(0_u16..600, 0..6);
    let held = held.prop_map(|experts| experts.into_iter().collect::<HeldExperts>());
    let ranks = prop::collection::vec(held, 0..5);
    prop::collection::vec(ranks, 0..4).prop_map(|sets| GroupMap { sets })
}

/// Returns twelve ranks that hold 72 experts round-robin.
fn round_robin() -> Vec<HeldExperts> {
    (0..12).map(|rank| (0..6).map(|at| rank + 12 * at).collect()).collect()
}

fn loads(ranks: &[HeldExperts], demand: &[f64]) -> Vec<f64> {
    let holders = |expert: u16| ranks.iter().filter(|held| held.contains(&expert)).count() as f64;
    let share = |expert: &u16| demand[usize::from(*expert)] / holders(*expert);
    ranks.iter().map(|held| held.iter().map(share).sum()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_command_reads_back_as_it_was_written(map in maps(), version in any::<u64>()) {
        let order = RankOrder::Prepare { version, map: map.into() };
        let command = RankCommand { order, epoch: 1, fence: 2 };

        let text = serde_json::to_string(&command).unwrap();
        let read: RankCommand = serde_json::from_str(&text).unwrap();

        prop_assert_eq!(read, command);
    }

    #[test]
    fn a_plan_keeps_its_limits_and_reports_the_resulting_imbalance(
        demand in prop::collection::vec(0.0_f64..1.0, 72),
        hot in 0_usize..72,
        spare in 1_usize..4,
    ) {
        let mut demand = demand;
        demand[hot] = 15.0;
        let before = round_robin();
        let limits = PlacementLimits { places: 8, spare, copy_cost: 0.01 };

        let plan = improve_set(&before, &demand, &limits);

        let new_experts = |rank: usize| {
            plan.ranks[rank].iter().filter(|expert| !before[rank].contains(expert)).count()
        };
        let loads = loads(&plan.ranks, &demand);
        let mean = loads.iter().sum::<f64>() / 12.0;
        let max_load = loads.iter().copied().fold(0.0, f64::max);
        prop_assert!((plan.after - max_load / mean).abs() < 1e-6);
        prop_assert!(plan.after <= plan.before);
        prop_assert!((0..12).all(|rank| new_experts(rank) <= spare && plan.ranks[rank].len() <= 8));
        let map = GroupMap { sets: vec![plan.ranks.clone()] };
        prop_assert!(map.is_complete(72));
    }
}

#[test]
fn a_demand_shift_is_distinguished_from_noise() {
    let mut demand = Demand::new(1, 1, 4);
    let mut sums = [0_u64; 4];
    let mut read = |add: [u64; 4]| {
        sums.iter_mut().zip(add).for_each(|(sum, add)| *sum += add);
        demand.observe(&[Some(RankCounts { epoch: 1, counts: sums.to_vec() })])
    };

    let noise = [
        read([50, 30, 10, 10]),
        read([51, 29, 11, 9]),
        read([480, 310, 95, 105]),
        read([0, 0, 0, 0]),
        read([55, 27, 9, 9]),
    ];
    let shift = read([10, 30, 50, 10]);

    assert!(!noise.contains(&true) && shift);
}

/// Guards against settling that blocks although the only unreachable rank is known not to be armed.
/// It must block as long as the rank may be armed: the leader doesn't know, or an order to the rank
/// is in doubt.
#[test]
fn a_rank_that_was_never_armed_need_not_be_reached() {
    let state = |rank, held| RankState {
        group: GroupName::default(),
        rank,
        size: 4,
        epoch: 1,
        open: true,
        pass: 4,
        map: 0,
        prepared: Some(7),
        armed: (rank == 1).then_some(Armed { version: 7, pass: 5 }),
        held,
        running: 1,
        lag_ms: 0,
    };
    let states = [Some(state(0, None)), Some(state(1, Some(5))), None, Some(state(3, None))];
    let fenced = OrderStatus { fenced: true, ..OrderStatus::default() };
    let holder = OrderStatus { holds: true, ..fenced };
    let fenced_only = [fenced, holder, fenced, fenced];
    let unarmed = [fenced, holder, OrderStatus { unarmed: true, ..fenced }, fenced];
    let in_doubt =
        [fenced, holder, OrderStatus { unarmed: true, in_doubt: true, ..fenced }, fenced];

    assert_eq!(next_settle_action(&states, &fenced_only, 0, &[3, 0]), SettleAction::Blocked);
    assert_eq!(next_settle_action(&states, &in_doubt, 0, &[3, 0]), SettleAction::Blocked);
    assert_eq!(
        next_settle_action(&states, &unarmed, 0, &[3, 0]),
        SettleAction::Disarm(vec![(1, 7)])
    );
}

/// Guards against settling that waits forever for a rank that does not hold the group, after all
/// ranks have come to hold it by orders whose answers were lost.
#[test]
fn a_group_held_by_every_rank_is_released() {
    let state = |rank| RankState {
        group: GroupName::default(),
        rank,
        size: 2,
        epoch: 1,
        open: true,
        pass: 4,
        map: 0,
        prepared: None,
        armed: None,
        held: Some(5),
        running: 1,
        lag_ms: 0,
    };
    let states = [Some(state(0)), Some(state(1))];
    let unknown = [OrderStatus::default(); 2];
    let holder = OrderStatus { fenced: true, holds: true, ..OrderStatus::default() };

    let first = next_settle_action(&states, &unknown, 0, &[]);
    let last = next_settle_action(
        &states,
        &[holder, OrderStatus { fenced: true, ..OrderStatus::default() }],
        0,
        &[],
    );

    assert_eq!(first, SettleAction::Hold { rank: 0, pass: 5 });
    assert_eq!(last, SettleAction::Release(vec![(0, 5), (1, 5)]));
}
