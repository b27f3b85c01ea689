//! How many requests entries send together to upstreams that are cold.

use std::collections::HashMap;
use std::time::Duration;

use ebonyusher::direct::{
    ColdSource, ColdStart, LimitRow, ListedUpstream, Roster, RosterChange, UpstreamLimits,
};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

use crate::direct_parts::proptest_config;

/// Maximum number of entries that the settings name.
const MAX_ENTRIES: usize = 16;
/// Maximum number of entries that are cut off from the store while others are not.
const CUT_OFF: usize = 4;
/// Time for which upstreams are cold after a start.
const COLD_TIME: Duration = Duration::from_secs(30);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time between two requests at each entry.
const TICK: Duration = Duration::from_millis(20);

fn upstream(id: usize, started_at_ms: u64, cold: Duration) -> ListedUpstream {
    ListedUpstream {
        id: format!("u-{id}"),
        service: "ledger".to_owned(),
        addr: "127.0.0.1:80".parse().expect("an address"),
        domain: "osu".to_owned(),
        draining: false,
        started_at_ms: Some(started_at_ms),
        cold,
    }
}

fn settings(per_second: f64) -> HashMap<String, ColdStart> {
    let start = ColdStart { duration: COLD_TIME, per_second };
    HashMap::from([("ledger".to_owned(), start)])
}

/// Creates entries that have the settings.
fn entries(number: usize, per_second: f64) -> Vec<UpstreamLimits> {
    let entry = |at| {
        let limits = UpstreamLimits::new(&format!("entry-{at}"), MAX_ENTRIES as f64);
        limits.set_cold_starts(settings(per_second), Instant::now());
        limits
    };
    (0..number).map(entry).collect()
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

/// Sends as much as each entry may while the upstreams are cold, and returns for each upstream when
/// requests were sent. Only the first entries reach the store.
fn send_all(
    entries: &[UpstreamLimits],
    connected: usize,
    upstreams: &[ListedUpstream],
) -> Vec<Vec<Instant>> {
    let start = Instant::now();
    let mut sent = vec![Vec::new(); upstreams.len()];
    for entry in entries {
        for listed in upstreams {
            entry.list(listed, start);
        }
    }
    let mut now = start;
    while now < start + COLD_TIME {
        if now.duration_since(start).as_millis().is_multiple_of(8_000) {
            share(&entries[..connected], now);
        }
        for entry in entries {
            for (at, listed) in upstreams.iter().enumerate() {
                if entry.next_send(listed, now) <= now {
                    entry.record_send(listed, now);
                    sent[at].push(now);
                }
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

/// Returns what the platform allows in any second.
fn allowed(rate: f64) -> f64 {
    1.5 * rate + 5.0
}

/// Guards against entries that together overrun a cold upstream, and against a share that is not
/// used.
#[rstest]
#[case::all_know_each_other(6, 0.7)]
#[case::three_do_not_reach_the_store(3, 0.7)]
#[case::none_reaches_the_store(0, 0.2)]
fn six_entries_keep_to_the_rate_of_a_cold_upstream(#[case] connected: usize, #[case] used: f64) {
    for rate in [1.0, 4.0, 12.0] {
        let entries = entries(6, rate);

        let sent = send_all(&entries, connected, &[upstream(1, 1, COLD_TIME)]);

        let most = most_in_window(&sent[0]) as f64;
        assert!(most <= allowed(rate), "{most} at {rate}");
        let least = used * rate * COLD_TIME.as_secs_f64();
        assert!(sent[0].len() as f64 >= least, "{} of {least} at {rate}", sent[0].len());
    }
}

/// Guards against a bound that holds for one upstream and not if a whole domain turns cold.
#[test]
fn each_upstream_of_a_cold_domain_gets_its_own_rate() {
    let (entries, rate) = (entries(6, 4.0), 4.0);
    let upstreams: Vec<_> = (0..24).map(|id| upstream(id, 1, COLD_TIME)).collect();

    let sent = send_all(&entries, 6, &upstreams);

    for sent in &sent {
        assert!(most_in_window(sent) as f64 <= allowed(rate));
        assert!(sent.len() as f64 >= 0.7 * rate * COLD_TIME.as_secs_f64(), "{}", sent.len());
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Entries that are cut off from the store come on top of the others, who don't count them and
    /// share the whole rate.
    #[test]
    fn any_number_of_entries_keeps_to_any_rate(
        connected in 0..=MAX_ENTRIES - CUT_OFF,
        cut_off in 0..=CUT_OFF,
        rate in 0.5..20.0_f64,
    ) {
        let entries = entries(connected + cut_off, rate);

        let sent = send_all(&entries, connected, &[upstream(1, 1, COLD_TIME)]);

        let most = most_in_window(&sent[0]) as f64;
        prop_assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
    }
}

/// Guards against a listing that is ignored because its incarnation is known, and against an
/// upstream that stays cold after its listing says otherwise.
#[test]
fn a_later_listing_of_the_same_incarnation_makes_an_upstream_cold_and_warm() {
    let (entries, roster, start) = (entries(1, 4.0), Roster::default(), Instant::now());
    let (warm, cold) = (upstream(1, 1, Duration::ZERO), upstream(1, 1, COLD_TIME));
    let next_after = |listed: &ListedUpstream| {
        entries[0].list(listed, start);
        let change = roster.apply(listed.clone());
        let known = &roster.service_upstreams("ledger")[0].listed;
        (change, entries[0].next_send(known, start) > start)
    };

    assert_eq!(next_after(&warm), (RosterChange::Added, false));
    assert_eq!(next_after(&cold), (RosterChange::None, true));
    assert_eq!(next_after(&warm), (RosterChange::None, false));
}

/// Guards against upstreams that are spared although nothing calls for it: the service has no
/// requests yet, has no settings, or the upstream was known before its listing was lost.
#[test]
fn an_upstream_that_is_not_new_or_whose_service_is_idle_is_not_cold() {
    let (entries, now) = (entries(1, 4.0), Instant::now());
    let unset = UpstreamLimits::new("entry-9", 1.0);

    assert_eq!(entries[0].list(&upstream(1, 1, Duration::ZERO), now), None);
    entries[0].record_send(&upstream(1, 1, Duration::ZERO), now);
    assert_eq!(entries[0].list(&upstream(1, 1, Duration::ZERO), now), None);
    unset.record_send(&upstream(1, 1, Duration::ZERO), now);
    assert_eq!(unset.list(&upstream(2, 1, COLD_TIME), now), None);
    assert!(unset.next_send(&upstream(2, 1, COLD_TIME), now) <= now);
}

/// Guards against an entry that reads the list before the settings and forgets what the list says.
#[test]
fn a_listing_read_before_the_settings_takes_effect_with_them() {
    let (limits, now) = (UpstreamLimits::new("entry-1", 1.0), Instant::now());
    let cold = upstream(1, 1, COLD_TIME);
    limits.list(&cold, now);
    let before = limits.next_send(&cold, now);

    let changes = limits.set_cold_starts(settings(4.0), now);
    let again = limits.set_cold_starts(settings(4.0), now);

    assert!(before <= now && limits.next_send(&cold, now) > now);
    assert_eq!((changes.len(), again.len()), (1, 0));
}

/// Guards against an upstream that starts under load and gets its full part at once.
#[rstest]
#[case::listing_says_nothing(Duration::ZERO, COLD_TIME, ColdSource::New)]
#[case::listing_says_less(Duration::from_secs(2), Duration::from_secs(2), ColdSource::Listing)]
#[case::listing_says_more(COLD_TIME * 2, COLD_TIME * 2, ColdSource::Listing)]
fn an_upstream_that_starts_while_its_service_has_requests_is_cold(
    #[case] listed: Duration,
    #[case] time: Duration,
    #[case] source: ColdSource,
) {
    let (entries, now) = (entries(1, 4.0), Instant::now());
    entries[0].record_send(&upstream(1, 1, Duration::ZERO), now);
    let started = upstream(1, 2, listed);

    let change = entries[0].list(&started, now).expect("cold");
    entries[0].list(&upstream(1, 1, Duration::ZERO), now);

    assert_eq!((change.time, change.source), (time, source));
    assert!(entries[0].next_send(&started, now) > now);
    assert!(entries[0].next_send(&started, now + time) <= now + time);
    assert_eq!((entries[0].cold_len(now), entries[0].cold_len(now + time)), (1, 0));
}
