//! Terms of group leaders, also when the store comes back from an older copy of their row.

use std::sync::Arc;

use ebonyusher::id::Incarnation;
use ebonyusher::platform::{Row, Table, TableError, Txn};
use ebonyusher::remap::{Claim, ClaimedTerm, TermStore, first_fence};
use ebonyusher_standin::MemPlatform;

const KEY: &str = "term/chat/g-1";

fn terms(table: &Arc<MemPlatform>) -> TermStore<MemPlatform> {
    terms_of(table, "g-1")
}

fn terms_of(table: &Arc<MemPlatform>, group: &str) -> TermStore<MemPlatform> {
    TermStore::new(Arc::clone(table), "chat", &group.into(), Incarnation::random())
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

/// Guards against leaders of different groups that depose each other by one stored term.
#[tokio::test]
async fn each_group_of_a_service_has_its_own_term() {
    let table = Arc::new(MemPlatform::new());
    let (first, second, unnamed) =
        (terms_of(&table, "g-1"), terms_of(&table, "g-2"), terms_of(&table, ""));
    let claimed = begin(&first, 0).await;

    let others = [begin(&second, 0).await.term, begin(&unnamed, 0).await.term];

    assert_eq!(others, [1, 1]);
    assert_eq!(first.record_switcher(claimed.term, 0).await, Ok(()));
    assert!(table.get("term/chat").await.unwrap().is_some());
}

/// Guards against a leader that stays fenced by a rank that came from a group with greater terms.
#[tokio::test]
async fn a_claim_after_a_fenced_order_exceeds_the_terms_of_all_groups_and_keeps_tokens_exact() {
    let table = Arc::new(MemPlatform::new());
    let (first, second) = (terms_of(&table, "g-1"), terms_of(&table, "g-2"));
    begin(&first, 700).await;
    let known = begin(&second, 2).await.term;

    let above = second.claim_ahead(known).await.unwrap();
    let doubled = second.claim_ahead(1_000).await.unwrap();
    let last = second.claim_ahead(300_000_000).await.unwrap();

    let begun = |term| Claim::Begun(ClaimedTerm { term, switcher: None });
    assert_eq!((above, doubled, last), (begun(702), begun(2_000), begun(300_000_001)));
    assert!(first_fence(300_000_002) < 1 << 53);
}
