use proptest::prelude::*;
use rstest::rstest;

use super::leader::VersionRule;
use super::play::{Deviation, play};
use super::search::search;

/// Largest number of deviations of a random run, and of the event at which one happens.
const MAX_DEVIATIONS: usize = 8;
const MAX_EVENT: usize = 60;

/// Guards against a pass under two maps that have the same version, as two leaders prepared them
/// (issue 51, review/1).
#[rstest]
#[case::two_ranks(2)]
#[case::three_ranks(3)]
fn no_pass_begins_under_the_maps_of_two_leaders(#[case] ranks: usize) {
    let found = search(ranks, VersionRule::Taken, max_deviations());

    assert_eq!(found.split.map(|split| split.events), None);
    assert!(found.runs > 1_000, "only {} runs", found.runs);
}

#[rstest]
#[case::two_ranks(2)]
#[case::three_ranks(3)]
fn the_search_finds_the_split_if_leaders_count_versions_from_reports(#[case] ranks: usize) {
    let found = search(ranks, VersionRule::AfterReported, 2);

    assert!(found.split.is_some(), "no split in {} runs", found.runs);
}

/// Number of deviations up to which all runs are played; more by hand.
fn max_deviations() -> usize {
    std::env::var("MAX_DEVIATIONS").map_or(2, |text| text.parse().expect("a number"))
}

fn deviation() -> impl Strategy<Value = Deviation> {
    (0..MAX_EVENT, 1_usize..8).prop_map(|(at, choice)| Deviation { at, choice })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_random_run_has_a_pass_under_the_maps_of_two_leaders(
        ranks in 2_usize..5,
        deviations in prop::collection::vec(deviation(), 1..MAX_DEVIATIONS),
    ) {
        let ended = play(ranks, VersionRule::Taken, &deviations);

        prop_assert!(ended.split_passes.is_empty(), "{:?}", ended.events);
    }
}
