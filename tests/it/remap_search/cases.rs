use rstest::rstest;

use super::layout::{EARLIER, HOLDER, VIA};
use super::search::search;
use super::variant::Variant;

#[rstest]
#[case(EARLIER)]
#[case(HOLDER)]
#[case(VIA)]
fn no_pass_begins_under_two_maps(#[case] next: usize) {
    let (split, worlds) = search(Variant::Whole, next);

    assert!(split.is_none(), "{split:#?}");
    assert!(worlds > 10_000, "only {worlds} worlds");
}

#[rstest]
#[case(Variant::OldReports, VIA)]
#[case(Variant::OwnFirst, VIA)]
#[case(Variant::ViaEarly, EARLIER)]
#[case(Variant::NoHold, VIA)]
#[case(Variant::NoFence, VIA)]
fn the_search_finds_what_is_left_out(#[case] variant: Variant, #[case] next: usize) {
    let (split, worlds) = search(variant, next);

    assert!(split.is_some(), "{worlds} worlds");
}
