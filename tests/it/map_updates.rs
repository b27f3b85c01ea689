//! Maps that are sent as differences: whatever is known at the receiver, it gets the map that was
//! meant or none.

use ebonyusher::remap::{GroupMap, HeldExperts, MapBase, MapUpdate, SharedMap, UpdateError};
use proptest::prelude::*;

const SETS: usize = 3;
const RANKS: usize = 7;

fn maps() -> impl Strategy<Value = SharedMap> {
    let held = prop::collection::vec(0_u16..600, 0..4);
    let held = held.prop_map(|experts| experts.into_iter().collect::<HeldExperts>());
    let ranks = prop::collection::vec(held, RANKS);
    prop::collection::vec(ranks, SETS).prop_map(|sets| GroupMap { sets }.into())
}

/// Returns the maps of a new group and of one in which some ranks of a set hold another expert.
fn few_changes(changed: usize) -> [SharedMap; 2] {
    let new = GroupMap::in_turn(16, 129, 258);
    let mut later = new.clone();
    (0..changed).for_each(|at| later.sets[at % 16][at % 129].push(257));
    [new.into(), later.into()]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(129),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_update_makes_the_map_that_was_meant(from in maps(), to in maps()) {
        let update = MapUpdate::between(Some(&from), &to);
        let whole = MapUpdate::between(None, &to);

        prop_assert_eq!(update.apply(|_| Some(from.clone())), Ok(to.clone()));
        prop_assert_eq!(whole.apply(|_| None), Ok(to));
    }

    #[test]
    fn an_update_to_another_map_gives_none(from in maps(), known in maps(), to in maps()) {
        prop_assume!(from != known && from != to);
        let update = MapUpdate::between(Some(&from), &to);
        prop_assume!(update.base == MapBase::Known(from.digest()));

        let applied = update.apply(|_| Some(known.clone()));

        prop_assert!(applied == Err(UpdateError::WrongDigest) || applied == Ok(to));
        prop_assert_eq!(update.apply(|_| None), Err(UpdateError::BaseMissing));
    }

    #[test]
    fn a_damaged_update_gives_no_other_map(
        from in maps(),
        to in maps(),
        at in any::<prop::sample::Index>(),
        letter in "[A-Za-z0-9+/]",
    ) {
        let mut doc = serde_json::to_value(MapUpdate::between(Some(&from), &to)).unwrap();
        let mut text = doc["changes"].as_str().unwrap().to_owned();
        let at = at.index(text.len());
        text.replace_range(at..=at, &letter);
        doc["changes"] = text.into();
        let damaged: MapUpdate = serde_json::from_value(doc).unwrap();

        let applied = damaged.apply(|_| Some(from.clone()));

        prop_assert!(applied.is_err() || applied == Ok(to));
    }
}

/// Guards against updates whose size grows with the group: a switch that copies 80 experts takes
/// the same bytes at 129 ranks as at 12.
#[test]
fn the_size_of_an_update_follows_what_changes() {
    let [new, later] = few_changes(80);

    let update = MapUpdate::between(Some(&new), &later);
    let whole = MapUpdate::between(None, &later);

    assert!(update.size() < 1_500, "{} bytes", update.size());
    assert!(whole.size() > 10 * update.size(), "{} bytes", whole.size());
}
