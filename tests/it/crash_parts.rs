//! Which part of their prompts requests are refused for, while one part crashes a group of upstreams
//! again and again, without a network.

use std::collections::HashSet;
use std::time::Duration;

use ebonyusher::direct::{Crash, CrashStatus, Crashes, ListedUpstream};
use ebonyusher::entry::CrashKeys;
use ebonyusher::units::unix_millis;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

use crate::direct_parts::proptest_config;

const QUARANTINE: Duration = Duration::from_secs(60);
/// Number of ranks of the group.
const RANKS: usize = 12;
/// Number of crashes from which a request is quarantined at a group.
const LIMIT: u32 = 2;
/// Number of crashes after which the part reaches no upstream.
const MAX_CRASHES: u32 = 5;
/// The part that crashes upstreams.
const FATAL: u64 = 0xbad;
/// A part of all prompts.
const ROOT: u64 = 1;
/// Time from one crash to the next, in milliseconds.
const ROUND_MS: u64 = 4_000;

/// What the prompts of a run have in common.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    /// Whether all prompts begin with the same part.
    has_root: bool,
    /// Whether requests completed before the first crash.
    has_history: bool,
    /// Whether all fatal requests have the same first part.
    same_subject: bool,
}

/// One request, and the rank that it is sent to.
#[derive(Clone, Debug)]
struct Sent {
    keys: CrashKeys,
    rank: usize,
    is_fatal: bool,
    /// Whether its answer had gone on when a rank crashed.
    progressed: bool,
}

fn keys(traffic: Traffic, request: u64, subject: u64, is_fatal: bool) -> CrashKeys {
    let root = traffic.has_root.then_some(ROOT);
    let fatal = is_fatal.then_some(FATAL);
    CrashKeys { request, parts: root.into_iter().chain([0x100 + subject]).chain(fatal).collect() }
}

fn rank_listing(rank: usize, round: u64, crashed: &HashSet<(usize, u64)>) -> ListedUpstream {
    // A rank that has crashed starts anew for the next round.
    let starts = crashed.iter().filter(|(at, before)| *at == rank && *before < round).count();
    ListedUpstream {
        id: format!("rank-{rank}"),
        service: "drafts".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        domain: "osu".into(),
        draining: false,
        started_at_ms: Some(starts as u64),
        cold: Duration::ZERO,
    }
}

/// The crash of a rank, with a request in flight that was sent at this Unix time in milliseconds.
fn crash(listed: &ListedUpstream, started: u64) -> Crash {
    Crash {
        upstream: listed.id.clone(),
        incarnation: listed.started_at_ms,
        started,
        ended: started + 100,
        isolated: true,
    }
}

/// Requests of one round: subject, rank, whether the answer goes on, for the sound ones and the
/// fatal ones.
type Round = (Vec<(u64, usize, bool)>, Vec<(u64, usize)>);

fn rounds() -> impl Strategy<Value = Vec<Round>> {
    // Squared, so that some subjects are much more frequent than others.
    let subject = (0..8_u64, 0..8_u64).prop_map(|(a, b)| a * b);
    let sound = (subject.clone(), 0..RANKS, prop::bool::weighted(0.6));
    let sound = prop::collection::vec(sound, 30..60);
    let fatal = prop::collection::vec((subject, 0..RANKS), 1..4);
    prop::collection::vec((sound, fatal), 12)
}

/// Plays rounds in which the group opens, takes requests, and loses the ranks that begin fatal ones.
/// Returns the number of crashes and the share of sound requests refused in the last rounds.
fn play(traffic: Traffic, rounds: &[Round]) -> (u32, f64) {
    let crashes = Crashes::new(QUARANTINE);
    let (now, mut crashed) = (Instant::now(), HashSet::new());
    // After the completions of the history, and too late for them to excuse the first crash.
    let first = unix_millis(Duration::ZERO) + 2 * ROUND_MS;
    if traffic.has_history {
        for subject in 0..64 {
            crashes.clear(&keys(traffic, 1, subject, false));
        }
    }
    let (mut asked, mut refused, mut count, mut id) = (0, 0, 0, 100);
    for (round, (sound, fatal)) in (0_u64..).zip(rounds) {
        let time = first + round * ROUND_MS;
        let mut sent = Vec::new();
        let mut send = |keys: CrashKeys, rank, is_fatal, progressed| {
            let status = crashes.judge(&keys, LIMIT, now).1;
            let is_sent = status == CrashStatus::Clear;
            if is_sent {
                sent.push(Sent { keys, rank, is_fatal, progressed });
            }
            is_sent
        };
        for (subject, rank, progressed) in sound {
            id += 1;
            let is_sent = send(keys(traffic, id, *subject, false), *rank, false, *progressed);
            if round >= 6 {
                asked += 1;
                refused += u32::from(!is_sent);
            }
        }
        for (subject, rank) in fatal {
            id += 1;
            let subject = if traffic.same_subject { 0 } else { *subject };
            send(keys(traffic, id, subject, true), *rank, true, false);
        }
        let ended: HashSet<usize> =
            sent.iter().filter(|sent| sent.is_fatal).map(|sent| sent.rank).collect();
        count += ended.len() as u32;
        for sent in sent {
            let listed = rank_listing(sent.rank, round, &crashed);
            if ended.is_empty() {
                crashes.clear(&sent.keys);
            } else if ended.contains(&sent.rank) {
                for key in sent.keys.iter() {
                    crashes.record(key, crash(&listed, time), now);
                }
            } else if sent.progressed {
                crashes.record_survival(&sent.keys, &listed);
            }
        }
        crashed.extend(ended.into_iter().map(|rank| (rank, round)));
    }
    (count, f64::from(refused) / f64::from(asked.max(1)))
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn the_part_that_crashes_upstreams_is_refused_and_the_others_are_not(
        (has_root, has_history, same_subject) in any::<(bool, bool, bool)>(),
        rounds in rounds(),
    ) {
        let traffic = Traffic { has_root, has_history, same_subject };

        let (count, refused) = play(traffic, &rounds);

        // Fatal requests that reach several ranks at the same moment crash each.
        prop_assert!(count < MAX_CRASHES + 3, "{count} crashes");
        prop_assert!(refused <= 0.5, "{refused} of the sound requests are refused");
    }
}

#[rstest]
#[case::lived_nowhere(0, true)]
#[case::lived_at_one(1, false)]
fn an_upstream_that_lived_on_makes_up_for_a_crash(#[case] lived: usize, #[case] is_refused: bool) {
    let (crashes, now) = (Crashes::new(QUARANTINE), Instant::now());
    let keys = |request| CrashKeys { request, parts: [FATAL].into_iter().collect() };
    for at in 0..2 {
        crashes.record(FATAL, crash(&rank_listing(at, 0, &HashSet::new()), 1), now);
    }

    for at in 0..lived {
        crashes.record_survival(&keys(5), &rank_listing(5 + at, 0, &HashSet::new()));
        // An upstream that crashed later has not lived on.
        crashes.record_survival(&keys(6), &rank_listing(1, 0, &HashSet::new()));
    }

    let is_clear = crashes.judge(&keys(7), LIMIT, now).1 == CrashStatus::Clear;
    assert_eq!(is_clear, !is_refused);
}

#[rstest]
#[case::never_completed(false, 2)]
#[case::completed_before(true, 4)]
fn a_part_with_which_requests_have_completed_takes_more_crashes(
    #[case] has_completed: bool,
    #[case] limit: usize,
) {
    let (crashes, now) = (Crashes::new(QUARANTINE), Instant::now());
    let keys = CrashKeys { request: 7, parts: [FATAL].into_iter().collect() };
    if has_completed {
        crashes.clear(&keys);
    }
    let later = unix_millis(Duration::ZERO) + ROUND_MS;
    let mut is_clear = Vec::new();

    for at in 0..5 {
        crashes.record(FATAL, crash(&rank_listing(at, 0, &HashSet::new()), later), now);
        is_clear.push(crashes.judge(&keys, LIMIT, now).1 == CrashStatus::Clear);
    }

    assert_eq!(is_clear.iter().position(|is_clear| !is_clear), Some(limit - 1));
}
