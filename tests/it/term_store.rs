//! Terms of group leaders, also when the store comes back from an older copy of their row.

use std::sync::Arc;

use ebonyusher::id::Incarnation;
use ebonyusher::platform::{Row, Table, TableError, Txn};
use ebonyusher::remap::{Claim, ClaimedTerm, TermStore};
use ebonyusher_standin::MemPlatform;

const GROUP: &str = "group-1";
const KEY: &str = "term/group-1";

fn terms(table: &Arc<MemPlatform>) -> TermStore<MemPlatform> {
    TermStore::new(Arc::clone(table), GROUP, Incarnation::random())
}

/// Begins a term, given the latest one that the process knows.
async fn begin(terms: &TermStore<MemPlatform>, known: u64) -> ClaimedTerm {
    match terms.claim(known).await.unwrap() {
        Claim::Begun(claimed) => claimed,
        Claim::Newer(term) => panic!("another process has begun term {term}"),
    }
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
    let lost = begin(&first, 0).await;

    restore(&table, older).await;
    let claimed = begin(&next, lost.term).await;

    assert!(claimed.term > lost.term);
}

#[tokio::test]
async fn a_leader_goes_on_though_its_row_went_back() {
    let table = Arc::new(MemPlatform::new());
    let (first, second) = (terms(&table), terms(&table));
    begin(&first, 0).await;
    let older = table.get(KEY).await.unwrap();
    let present = begin(&second, 1).await;

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
    let lost = begin(&first, 0).await;

    restore(&table, None).await;
    let claimed = begin(&second, 0).await;
    let recorded = first.record_switcher(lost.term, 3).await;

    assert_eq!(claimed.term, lost.term);
    assert_eq!(recorded, Err(TableError::Conflict));
}

/// Guards against claims that depose a leader which had no time yet to call the other processes.
#[tokio::test]
async fn a_process_that_does_not_know_the_present_term_does_not_claim_the_next() {
    let table = Arc::new(MemPlatform::new());
    let (first, second) = (terms(&table), terms(&table));
    let present = begin(&first, 0).await;

    let ignorant = second.claim(0).await.unwrap();
    let informed = begin(&second, present.term).await;

    assert_eq!(ignorant, Claim::Newer(present.term));
    assert_eq!(informed.term, present.term + 1);
}
