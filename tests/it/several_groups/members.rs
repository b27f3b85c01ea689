//! Rows that list the members of groups.

use ebonyusher::membership::GroupRow;
use ebonyusher::platform::{Table, TableError, Txn};
use ebonyusher::remap::MemberRows;
use ebonyusher_standin::{Faults, MemPlatform, WriteOutcome};
use rstest::rstest;

fn row(group: &str, epoch: u64, term: u64, members: &[&str]) -> GroupRow {
    let members = members.iter().map(|id| (*id).to_owned()).collect();
    GroupRow { service: "desk".to_owned(), group: group.into(), epoch, term, members }
}

async fn store(table: &MemPlatform, row: &GroupRow) {
    let key = GroupRow::key(&row.service, &row.group);
    table.commit(&Txn::new().put(&key, row)).await.unwrap();
}

async fn stored(table: &MemPlatform, group: &str) -> Option<GroupRow> {
    let row = table.get(&GroupRow::key("desk", &group.into())).await.unwrap();
    row.map(|row| row.read().unwrap())
}

/// Guards against rows written more than once in an epoch, and against a frozen leader that
/// overwrites the row of a later one when it resumes.
#[rstest]
#[case::none(None, true)]
#[case::earlier_epoch(Some(row("g-1", 4, 2, &["a", "c"])), true)]
#[case::same_epoch_earlier_leader(Some(row("g-1", 5, 2, &["a", "b"])), false)]
#[case::later_leader(Some(row("g-1", 6, 9, &["a", "d"])), false)]
#[tokio::test]
async fn a_row_is_written_once_for_each_epoch(
    #[case] before: Option<GroupRow>,
    #[case] expected: bool,
) {
    let table = MemPlatform::new();
    if let Some(before) = &before {
        store(&table, before).await;
    }
    let own = row("g-1", 5, 3, &["a", "b"]);
    let rows = MemberRows::new(&table, &own);

    let written = rows.publish(&rows.read().await.unwrap()).await;
    let again = rows.publish(&rows.read().await.unwrap()).await;

    assert_eq!((written, again), (Ok(expected), Ok(false)));
    assert_eq!(stored(&table, "g-1").await, if expected { Some(own) } else { before });
}

/// Guards against a failed or unanswered write that is not repeated, or is repeated after success.
#[tokio::test]
async fn a_write_without_an_answer_is_repeated_only_if_it_was_lost() {
    let table = MemPlatform::new();
    let own = row("g-1", 5, 3, &["a", "b"]);
    let rows = MemberRows::new(&table, &own);
    table.script_writes([WriteOutcome::Lost, WriteOutcome::AnswerLost]);

    let mut outcomes = Vec::new();
    for _ in 0..3 {
        outcomes.push(rows.publish(&rows.read().await.unwrap()).await);
    }
    table.set_faults(Faults { down: true, ..Faults::default() });
    let down = rows.read().await;

    assert!(matches!(outcomes[..], [Err(TableError::Unknown(_)), Err(_), Ok(false)]));
    assert!(matches!(down, Err(TableError::Unavailable(_))));
}

/// Guards against rows of groups that are gone, and against the removal of the row of a group that
/// is missing from a single reading of the list or runs in another service.
#[tokio::test]
async fn rows_without_listed_members_are_removed_at_the_second_check() {
    let table = MemPlatform::new();
    let own = row("g-1", 5, 3, &["a", "b"]);
    for stored in [
        own.clone(),
        row("g-2", 1, 1, &["c", "d"]),
        row("g-3", 1, 1, &["e"]),
        row("g-4", 1, 1, &["f"]),
        GroupRow { service: "desktop".to_owned(), ..row("g-5", 1, 1, &["x"]) },
    ] {
        store(&table, &stored).await;
    }
    let mut rows = MemberRows::new(&table, &own);
    let listed = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect::<Vec<_>>();

    let read = rows.read().await.unwrap();
    let first = rows.remove_unlisted(read, &listed(&["a", "b", "d"])).await;
    store(&table, &row("g-4", 2, 1, &["g"])).await;
    let read = rows.read().await.unwrap();
    let second = rows.remove_unlisted(read, &listed(&["a", "b", "d"])).await;

    assert_eq!((first, second), (Ok(0), Ok(1)));
    let left = table.scan("group/").await.unwrap();
    let left: Vec<&str> = left.iter().map(|row| row.key.as_str()).collect();
    let expected = ["group/desk/g-1", "group/desk/g-2", "group/desk/g-4", "group/desktop/g-5"];
    assert_eq!(left, expected);
}
