//! Several groups of ranks behind one service, as an entry knows them and chooses among them.

use std::time::Duration;

use ebonyusher::direct::{
    GroupChange, GroupCondition, GroupDirectory, GroupLoad, GroupRecovery, RowChange, choose_group,
};
use ebonyusher::membership::{GroupName, GroupRow};
use ebonyusher::platform::{Row, TableError};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

use crate::direct_parts::proptest_config;

const IDLE: GroupLoad = GroupLoad {
    condition: GroupCondition::Running,
    admits: true,
    wait: Duration::ZERO,
    gap_ratio: 0.5,
    load: 2.0,
};
const BUSY: GroupLoad = GroupLoad { load: 9.0, ..IDLE };

fn written(group: &str, version: u64, members: &[&str]) -> RowChange {
    let row = GroupRow {
        service: "chat".to_owned(),
        group: GroupName::from(group),
        epoch: version,
        term: 1,
        members: members.iter().map(|&member| member.to_owned()).collect(),
    };
    let key = GroupRow::key("chat", &row.group);
    RowChange::Written(Row { key, version, value: serde_json::to_value(row).unwrap() })
}

fn directory(rows: &[RowChange]) -> GroupDirectory {
    let directory = GroupDirectory::default();
    rows.iter().for_each(|row| drop(directory.apply(row, Instant::now())));
    directory
}

fn group_of(directory: &GroupDirectory, upstream: &str) -> Option<String> {
    let memberships = directory.memberships()?;
    memberships.get("chat", upstream).map(|membership| membership.group.to_string())
}

/// Guards against requests that wait in a slow or broken group while another would serve them.
#[rstest]
#[case::waits(GroupLoad { wait: Duration::from_millis(100), ..IDLE })]
#[case::slow(GroupLoad { gap_ratio: 1.5, ..IDLE })]
#[case::broken(GroupLoad { condition: GroupCondition::Down, ..IDLE })]
#[case::unknown(GroupLoad { condition: GroupCondition::Unknown, ..IDLE })]
#[case::refuses(GroupLoad { admits: false, ..IDLE })]
#[case::more_loaded(GroupLoad { load: 9.5, ..IDLE })]
fn a_group_in_which_a_request_is_served_later_is_passed_by(#[case] worse: GroupLoad) {
    let chosen = [choose_group(&[worse, BUSY]), choose_group(&[BUSY, worse])];

    assert_eq!(chosen, [Some(1), Some(0)]);
}

/// Guards against a herd on the group whose measurements are better by chance.
#[rstest]
#[case::wait(GroupLoad { wait: Duration::from_millis(5), ..IDLE })]
#[case::gap(GroupLoad { gap_ratio: 0.9, ..IDLE })]
fn small_differences_count_less_than_the_load(#[case] slower: GroupLoad) {
    assert_eq!(choose_group(&[BUSY, slower]), Some(1));
}

#[test]
fn a_group_is_probed_although_another_runs() {
    let down = GroupLoad { condition: GroupCondition::Probe, ..BUSY };

    assert_eq!(choose_group(&[IDLE, down]), Some(1));
}

fn conditions() -> impl Strategy<Value = GroupCondition> {
    use GroupCondition::{Down, Probe, Running, Unknown};
    prop::sample::select(vec![Probe, Running, Unknown, Down])
}

fn loads() -> impl Strategy<Value = Vec<GroupLoad>> {
    let numbers = prop_oneof![0.0..50.0, Just(f64::NAN), Just(f64::INFINITY)];
    let parts = (conditions(), any::<bool>(), any::<Duration>(), numbers.clone(), numbers);
    let load = parts.prop_map(|(condition, admits, wait, gap_ratio, load)| GroupLoad {
        condition,
        admits,
        wait,
        gap_ratio,
        load,
    });
    prop::collection::vec(load, 0..6)
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against refusals, and waits in a broken group, while another group would serve.
    #[test]
    fn the_choice_admits_and_runs_if_any_does(loads in loads()) {
        let chosen = choose_group(&loads).map(|at| loads[at]);

        let runs = |load: &GroupLoad| load.condition <= GroupCondition::Running;
        prop_assert_eq!(chosen.is_some(), loads.iter().any(|load| load.admits));
        prop_assert!(chosen.is_none_or(|load| load.admits));
        let any_runs = loads.iter().any(|load| load.admits && runs(load));
        prop_assert!(!any_runs || chosen.is_some_and(|load| runs(&load)));
    }
}

/// Guards against members that stay in a group which no row lists any more.
#[test]
fn members_of_a_removed_row_are_in_no_group() {
    let directory = directory(&[written("g-1", 1, &["u-1"]), written("g-2", 2, &["u-2"])]);

    directory.apply(&RowChange::Removed("group/chat/g-1".to_owned()), Instant::now());

    assert_eq!(group_of(&directory, "u-1"), None);
    assert_eq!(group_of(&directory, "u-2").as_deref(), Some("g-2"));
}

/// Guards against rows of other kinds that cost a look-up for each upstream.
#[test]
fn without_a_row_of_a_group_there_are_no_memberships() {
    let directory = directory(&[RowChange::Removed("limits/entry-1".to_owned())]);

    assert_eq!(directory.memberships(), None);
}

/// Guards against the state of a former group that is kept after the last row is gone.
#[test]
fn after_the_last_row_no_group_has_members() {
    let directory = directory(&[written("g-1", 1, &["u-1"])]);

    let gone = directory.retain(&[]);

    let memberships = directory.memberships().unwrap();
    assert!(matches!(gone[..], [GroupChange::Gone(_)]));
    assert!(!memberships.has_group("chat", &GroupName::from("g-1")));
}

/// Guards against groups that are forgotten or kept wrongly as the whole table is read again.
#[test]
fn a_whole_reading_replaces_what_is_known_of_missing_rows_only() {
    let rows = [written("g-1", 1, &["u-1"]), written("g-2", 2, &["u-2"])];
    let directory = directory(&rows);
    let read_at = |upstream| directory.memberships().unwrap().get("chat", upstream).cloned();
    let before = read_at("u-2");

    directory.apply(&rows[1], Instant::now() + Duration::from_secs(9));
    directory.retain(&rows[1..]);

    assert_eq!(group_of(&directory, "u-1"), None);
    assert_eq!(read_at("u-2"), before);
}

/// Guards against an upstream that is counted in its former group after it has moved.
#[rstest]
#[case::in_order([0, 1])]
#[case::out_of_order([1, 0])]
fn the_row_written_last_holds_if_two_list_an_upstream(#[case] order: [usize; 2]) {
    let rows = [written("g-2", 1, &["u-1", "u-2"]), written("g-1", 2, &["u-1"])];

    let directory = directory(&order.map(|at| rows[at].clone()));

    assert_eq!(group_of(&directory, "u-1").as_deref(), Some("g-1"));
    assert_eq!(group_of(&directory, "u-2").as_deref(), Some("g-2"));
}

/// Guards against a damaged or foreign row that takes a group away, or grows without bound.
#[rstest]
#[case::unreadable(RowChange::Unusable(
    "group/chat/g-1".to_owned(),
    TableError::Malformed("not JSON".to_owned()),
))]
#[case::other_fields(RowChange::Written(Row {
    key: "group/chat/g-1".to_owned(),
    version: 2,
    value: serde_json::json!({"members": 5}),
}))]
#[case::key_of_another_group(match written("g-2", 2, &["u-1"]) {
    RowChange::Written(row) => RowChange::Written(Row { key: "group/chat/g-1".to_owned(), ..row }),
    change => change,
})]
#[case::too_large(written("g-1", 2, &["u-1"; 5_000]))]
fn a_row_that_cannot_be_used_changes_nothing(#[case] change: RowChange) {
    let directory = directory(&[written("g-1", 1, &["u-1"])]);

    let told = directory.apply(&change, Instant::now());

    assert!(matches!(told, Some(GroupChange::Unusable(..))), "{told:?}");
    assert_eq!(group_of(&directory, "u-1").as_deref(), Some("g-1"));
}

#[test]
fn the_number_of_groups_is_bounded() {
    let rows: Vec<RowChange> =
        (0..600).map(|at| written(&format!("g-{at}"), at + 1, &["u-1"])).collect();

    let directory = directory(&rows);

    assert_eq!(directory.len(), 256);
}

/// Guards against a row, written before the group broke, that makes it count as running.
#[test]
fn a_row_older_than_the_refusals_changes_nothing() {
    let (recovery, read_at) = (GroupRecovery::default(), Instant::now());
    let broken = read_at + Duration::from_millis(10);
    recovery.record_failure(broken);

    let probes = recovery.claim_probe(broken, Some(read_at), true);

    assert_eq!((probes, recovery.condition()), (false, GroupCondition::Down));
}

/// Guards against a group that stays without requests for long after it has formed again.
#[test]
fn a_new_row_makes_one_probe_due() {
    let (recovery, broken) = (GroupRecovery::default(), Instant::now());
    recovery.record_failure(broken);
    let read_at = broken + Duration::from_millis(100);
    let now = read_at + Duration::from_millis(1);

    let probes = [(); 2].map(|()| recovery.claim_probe(now, Some(read_at), true));

    assert_eq!(probes, [true, false]);
    assert_eq!(recovery.condition(), GroupCondition::Down);
}

/// Guards against a stalled group that holds a request which must not run twice.
#[rstest]
#[case::soon(2, false)]
#[case::late(5, true)]
fn requests_that_run_once_probe_only_late(#[case] seconds: u64, #[case] expected: bool) {
    let (recovery, broken) = (GroupRecovery::default(), Instant::now());
    recovery.record_failure(broken);

    let probes = recovery.claim_probe(broken + Duration::from_secs(seconds), None, false);

    assert_eq!(probes, expected);
}

/// Guards against a flood of a group that has just formed again.
#[test]
fn a_share_rises_from_the_first_response_on_only() {
    let (recovery, broken) = (GroupRecovery::default(), Instant::now());
    recovery.record_response(broken);
    recovery.record_failure(broken);
    let back = broken + Duration::from_secs(4);
    recovery.record_response(back);
    recovery.record_response(back + Duration::from_secs(2));

    let shares = [0, 600, 1_500, 3_000].map(|ms| recovery.share(back + Duration::from_millis(ms)));

    assert_eq!(shares, [0.1, 0.2, 0.5, 1.0]);
}
