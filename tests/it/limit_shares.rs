//! How entries divide the rate of requests that an upstream names.

use std::time::Duration;

use ebonyusher::direct::{LimitRow, ListedUpstream, NamedLimit, UpstreamLimits};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::direct_parts::proptest_config;

/// Maximum number of entries that the settings name.
const MAX_ENTRIES: usize = 16;
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time between two requests at each entry.
const TICK: Duration = Duration::from_millis(20);

fn upstream(started_at_ms: u64) -> ListedUpstream {
    ListedUpstream {
        id: "u-1".to_owned(),
        service: "ledger".to_owned(),
        addr: "127.0.0.1:80".parse().expect("an address"),
        domain: "osu".to_owned(),
        draining: false,
        started_at_ms: Some(started_at_ms),
        cold: Duration::ZERO,
    }
}

fn entries(number: usize) -> Vec<UpstreamLimits> {
    let name = |at: usize| format!("entry-{at}");
    (0..number).map(|at| UpstreamLimits::new(&name(at), MAX_ENTRIES as f64)).collect()
}

/// Lets each entry write its row, and all entries read the rows.
fn share(entries: &[UpstreamLimits], now: Instant) {
    let rows: Vec<LimitRow> = entries.iter().map(UpstreamLimits::next_row).collect();
    for entry in entries {
        for (at, row) in rows.iter().enumerate() {
            entry.apply(&format!("entry-{at}"), row, now);
        }
    }
}

/// Sends as much as each entry may for some time, and returns when requests were sent.
fn send_all(entries: &[UpstreamLimits], start: Instant, time: Duration) -> Vec<Instant> {
    let listed = upstream(1);
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + time {
        if now.duration_since(start).as_millis().is_multiple_of(8_000) {
            share(entries, now);
        }
        for entry in entries {
            if entry.next_send(&listed, now) <= now {
                entry.record_send(&listed, now);
                sent.push(now);
            }
        }
        now += TICK;
    }
    sent
}

fn most_in_window(sent: &[Instant]) -> usize {
    let in_window = |from: &Instant| {
        sent.iter().filter(|at| *at >= from && at.duration_since(*from) < WINDOW).count()
    };
    sent.iter().map(in_window).max().unwrap_or_default()
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn entries_that_know_each_other_keep_to_a_limit_together_and_use_it(
        number in 1..=MAX_ENTRIES,
        rate in 0.5..20.0_f64,
    ) {
        let (entries, start) = (entries(number), Instant::now());
        for entry in &entries {
            entry.hear(&upstream(1), NamedLimit::Rate(rate), start);
        }

        let sent = send_all(&entries, start, Duration::from_secs(32));

        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
        prop_assert!(most_in_window(&sent) as f64 <= allowed, "{sent:?}");
        let late = sent.iter().filter(|at| **at >= start + WINDOW * 2).count();
        prop_assert!(late as f64 >= 0.7 * rate * 24.0, "{late} of {}", rate * 24.0);
    }

    #[test]
    fn entries_that_cannot_read_the_table_send_their_part_of_the_most_entries(
        number in 1..=MAX_ENTRIES,
        rate in 0.5..20.0_f64,
    ) {
        let (entries, start) = (entries(number), Instant::now());
        for entry in &entries {
            entry.hear(&upstream(1), NamedLimit::Rate(rate), start);
        }
        let listed = upstream(1);
        let waits = entries.iter().map(|entry| entry.next_send(&listed, start) - start);

        for wait in waits {
            prop_assert!((wait.as_secs_f64() - MAX_ENTRIES as f64 / rate).abs() < 1e-6);
        }
    }
}

#[test]
fn an_entry_that_no_longer_reads_its_own_row_goes_back_to_its_part_of_the_most_entries() {
    let (entries, start) = (entries(1), Instant::now());
    entries[0].hear(&upstream(1), NamedLimit::Rate(2.0), start);
    share(&entries, start);

    let known = entries[0].next_send(&upstream(1), start + WINDOW);
    let cut_off = entries[0].next_send(&upstream(1), start + Duration::from_secs(17));

    assert_eq!(known - start, Duration::from_millis(500));
    assert_eq!(cut_off - start, Duration::from_secs(8));
}

#[test]
fn an_end_learned_from_another_entry_holds_though_a_third_has_yet_to_learn_it() {
    let (entries, start) = (entries(3), Instant::now());
    let later = start + WINDOW;
    entries[0].hear(&upstream(1), NamedLimit::Rate(2.0), start);
    share(&entries, start);
    share(&entries, start);
    let stale = entries[2].next_row();

    entries[0].hear(&upstream(1), NamedLimit::None, later);
    entries[1].apply("entry-0", &entries[0].next_row(), later);
    entries[1].apply("entry-2", &stale, later);

    assert!(entries[1].is_empty());
}

#[test]
fn a_limit_holds_for_the_incarnation_that_named_it() {
    let (entries, start) = (entries(2), Instant::now());
    entries[0].hear(&upstream(1), NamedLimit::Rate(0.0), start);
    share(&entries, start);

    for entry in &entries {
        assert!(entry.next_send(&upstream(2), start) <= start);
        assert!(entry.next_send(&upstream(1), start) > start);
    }
}
