use rstest::rstest;

use super::layout::{EARLIER_LEADER, HOLDER, VIA};
use super::search::search;
use super::variant::Variant;

#[rstest]
#[case(EARLIER_LEADER)]
#[case(HOLDER)]
#[case(VIA)]
fn no_pass_begins_under_two_maps(#[case] local: usize) {
    let (split, states) = search(Variant::Complete, local);

    assert!(split.is_none(), "{split:#?}");
    assert!(states > 10_000, "only {states} states");
}

#[rstest]
#[case(Variant::StaleReports, VIA)]
#[case(Variant::LocalFirst, VIA)]
#[case(Variant::ViaEarly, EARLIER_LEADER)]
#[case(Variant::NoHold, VIA)]
#[case(Variant::NoFence, VIA)]
fn the_search_finds_a_split_if_a_rule_is_left_out(#[case] variant: Variant, #[case] local: usize) {
    let (split, states) = search(variant, local);

    assert!(split.is_some(), "no split in {states} states");
}
