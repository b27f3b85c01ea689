//! Limits on the rate and the requests in flight of a client account.

use std::time::Duration;

use ebonyusher::entry::Limiter;
use ebonyusher::outcome::Reason;
use ebonyusher::settings::Account;
use rstest::rstest;
use tokio::time::advance;

use crate::test_cluster::account;

fn limited(rate: Option<f64>, in_flight: Option<u32>) -> Account {
    Account { rate, in_flight, ..account("key") }
}

#[rstest]
#[case::one_entry(1, 10)]
#[case::five_entries(5, 2)]
#[tokio::test(start_paused = true)]
async fn entries_share_the_rate_of_an_account(#[case] entries: usize, #[case] allowed: usize) {
    let limiter = Limiter::default();
    let account = limited(Some(10.0), None);

    let admitted = (0..50).filter(|_| limiter.admit("a", &account, entries).is_ok()).count();
    advance(Duration::from_secs(1)).await;
    let later = (0..50).filter(|_| limiter.admit("a", &account, entries).is_ok()).count();

    assert_eq!((admitted, later), (allowed, allowed));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_over_the_rate_gives_a_retry_delay() {
    let limiter = Limiter::default();
    let account = limited(Some(1.0), None);
    limiter.admit("a", &account, 1).unwrap();

    let refused = limiter.admit("a", &account, 1).unwrap_err();

    assert_eq!(refused.reason, Reason::AccountRate);
    assert_eq!(refused.retry_after, Some(Duration::from_secs(1)));
}

#[tokio::test(start_paused = true)]
async fn requests_in_flight_are_bounded_for_each_account() {
    let limiter = Limiter::default();
    let account = limited(None, Some(2));
    let first = limiter.admit("a", &account, 1).unwrap();
    let _second = limiter.admit("a", &account, 1).unwrap();

    let third = limiter.admit("a", &account, 1).unwrap_err();
    let other = limiter.admit("b", &account, 1);
    drop(first);

    assert_eq!(third.reason, Reason::AccountInFlight);
    assert!(other.is_ok());
    assert!(limiter.admit("a", &account, 1).is_ok());
}
