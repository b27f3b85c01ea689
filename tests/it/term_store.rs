//! Terms of group leaders, also when the store comes back from an older copy of their row.

use std::sync::Arc;

use ebonyusher::id::Incarnation;
use ebonyusher::platform::{Row, Table, TableError, Txn};
use ebonyusher::remap::TermStore;
use ebonyusher_standin::MemPlatform;

const GROUP: &str = "group-1";
const KEY: &str = "term/group-1";

fn terms(table: &Arc<MemPlatform>) -> TermStore<MemPlatform> {
    TermStore::new(Arc::clone(table), GROUP, Incarnation::random())
}

/// Writes an earlier value of the row, as a store that came back from an older copy has it.
async fn restore(table: &MemPlatform, older: Option<Row>) {
    let txn = match older {
        Some(row) => Txn::new().put(KEY, &row.value),
        None => Txn::new().delete(KEY),
    };
    table.commit(&txn).await.unwrap();
}

#[tokio::test]
async fn no_term_is_claimed_twice_though_its_row_went_back() {
    let table = Arc::new(MemPlatform::new());
    let (first, next) = (terms(&table), terms(&table));
    let older = table.get(KEY).await.unwrap();
    let lost = first.claim(0).await.unwrap();

    restore(&table, older).await;
    let claimed = next.claim(lost.term).await.unwrap();

    assert!(claimed.term > lost.term);
}

#[tokio::test]
async fn a_leader_goes_on_though_its_row_went_back() {
    let table = Arc::new(MemPlatform::new());
    let (first, second) = (terms(&table), terms(&table));
    first.claim(0).await.unwrap();
    let older = table.get(KEY).await.unwrap();
    let present = second.claim(1).await.unwrap();

    restore(&table, older).await;
    let recorded = second.record_switcher(present.term, 3).await;
    let superseded = first.record_switcher(1, 4).await;

    assert_eq!(recorded, Ok(()));
    assert_eq!(superseded, Err(TableError::Conflict));
}

#[tokio::test]
async fn a_leader_does_not_go_on_once_another_has_claimed_its_term() {
    let table = Arc::new(MemPlatform::new());
    let (first, second) = (terms(&table), terms(&table));
    let lost = first.claim(0).await.unwrap();

    restore(&table, None).await;
    let claimed = second.claim(0).await.unwrap();
    let recorded = first.record_switcher(lost.term, 3).await;

    assert_eq!(claimed.term, lost.term);
    assert_eq!(recorded, Err(TableError::Conflict));
}
