//! Selection of a group's ranks among a service's upstreams, and states of ranks that moved.

use ebonyusher::membership::{GroupName, GroupRow};
use ebonyusher::remap::{FoundRank, RankSet, RankState, SelectedRanks};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::sleep;

use super::host_client::HostClient;
use super::world::{FORM_TIME, World, host_id, name};

fn state(group: usize, rank: usize, open: bool) -> RankState {
    let (group, size, epoch) = (GroupName::from(name(group).as_str()), 3, 7 + group as u64);
    RankState {
        group,
        rank,
        size,
        epoch,
        open,
        pass: 4,
        map: 0,
        prepared: None,
        armed: None,
        held: None,
        running: 1,
        lag_ms: 0,
    }
}

/// Returns the upstream of a rank of three groups of three. Its client is named by its id.
fn found(group: usize, rank: usize, state: Option<RankState>) -> FoundRank<String> {
    let id = host_id(3 * group + rank);
    FoundRank { client: id.clone(), id, state }
}

fn row(group: usize, epoch: u64, members: [usize; 3]) -> GroupRow {
    let members = members.map(host_id).to_vec();
    let group = GroupName::from(name(group).as_str());
    GroupRow { service: "desk".to_owned(), group, epoch, term: 1, members }
}

fn ids(selected: SelectedRanks<String>) -> Option<Vec<String>> {
    selected.complete().map(|ranks| ranks.into_iter().map(|(id, _)| id).collect())
}

/// How a rank of another group appears.
#[derive(Clone, Copy, Debug)]
enum Seen {
    Running,
    Forming,
    Silent,
    Unlisted,
}

fn seen() -> impl Strategy<Value = Seen> {
    prop_oneof![Just(Seen::Running), Just(Seen::Forming), Just(Seen::Silent), Just(Seen::Unlisted)]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against groups that wait for ranks of other groups or take them in.
    #[test]
    fn a_group_is_found_whatever_the_others_do(
        others in prop::collection::vec(seen(), 6),
        order in Just((0..9_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let upstream = |at: &usize| {
            let (group, rank) = (at / 3, at % 3);
            let seen = if group == 1 { Seen::Running } else { others[(at + 6) % 9 % 6] };
            match seen {
                Seen::Running => Some(found(group, rank, Some(state(group, rank, true)))),
                Seen::Forming => Some(found(group, rank, Some(state(group, rank, false)))),
                Seen::Silent => Some(found(group, rank, None)),
                Seen::Unlisted => None,
            }
        };

        let listed = order.iter().filter_map(upstream).collect();
        let selected = SelectedRanks::new(listed, &"g-1".into()).unwrap();

        prop_assert_eq!(selected.epoch, 8);
        prop_assert_eq!(ids(selected), Some([3, 4, 5].map(host_id).to_vec()));
    }
}

/// The ranks of `g-1` without rank 2, and silent upstreams.
fn incomplete(silent: &[usize], others: bool) -> SelectedRanks<String> {
    let mut listed: Vec<FoundRank<String>> =
        silent.iter().map(|host| found(host / 3, host % 3, None)).collect();
    listed.extend((0..2).map(|rank| found(1, rank, Some(state(1, rank, true)))));
    if others {
        listed.push(found(0, 0, Some(state(0, 0, true))));
    }
    SelectedRanks::new(listed, &"g-1".into()).unwrap()
}

/// Guards against a silent upstream of another group that is taken for the rank that holds the own
/// group. `Some` is the host that must be taken for the missing rank.
#[rstest]
#[case::only_group(&[5], false, None, Some(5))]
#[case::only_group_two_silent(&[5, 8], false, None, None)]
#[case::other_group_no_row(&[8], true, None, None)]
#[case::listed(&[8, 5], true, Some(row(1, 8, [3, 4, 5])), Some(5))]
#[case::listed_elsewhere_is_silent(&[8], true, Some(row(1, 8, [3, 4, 5])), None)]
#[case::earlier_epoch(&[8, 5], true, Some(row(1, 7, [3, 4, 8])), None)]
#[case::reused_name_and_epoch(&[8, 5], true, Some(row(1, 8, [3, 6, 8])), None)]
fn a_silent_rank_is_identified(
    #[case] silent: &[usize],
    #[case] others: bool,
    #[case] row: Option<GroupRow>,
    #[case] expected: Option<usize>,
) {
    let mut selected = incomplete(silent, others);

    let absent = selected.absent(Some(2)).unwrap();
    let placed = row.is_some_and(|row| selected.place_listed(absent, &row))
        || selected.place_only_silent(absent);

    assert_eq!(placed, expected.is_some());
    assert_eq!(ids(selected), expected.map(|host| [3, 4, host].map(host_id).to_vec()));
}

/// Guards against settling without a rank that the last leader did not arm last.
#[test]
fn a_silent_rank_that_is_not_armed_last_is_waited_for() {
    let selected = incomplete(&[5], false);

    assert_eq!(selected.absent(None), None);
    assert_eq!(
        (0..3).map(|at| selected.absent(Some(at))).collect::<Vec<_>>(),
        [Some(2), None, Some(2)]
    );
}

/// Guards against leaders that go by the state of a rank which has moved to another group.
#[tokio::test(start_paused = true)]
async fn a_state_of_another_group_counts_as_none() {
    let world = World::new(&[(2, 3), (1, 3)]);
    let clients = (0..3).map(|rank| HostClient::new(&world, world.host(0, rank))).collect();
    let ranks = RankSet::new(clients, "g-0".into(), 2, 0);
    let before = ranks.states().await;

    world.exchange(0, 1, 1).await;
    sleep(FORM_TIME).await;
    let after = ranks.states().await;
    let single = ranks.state_of(1).await;

    let known = |states: Vec<Option<RankState>>| states.iter().map(Option::is_some).collect();
    let (before, after): (Vec<bool>, Vec<bool>) = (known(before), known(after));
    assert_eq!((before, after), (vec![true; 3], vec![true, false, true]));
    assert_eq!(single, None);
}
