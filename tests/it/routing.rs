//! The choice among upstreams: load reports, the balancing policy and subsets.

use ebonyusher::entry::{Candidate, CrashKeys, Member, Policy, PowerOfTwoChoices, pick_subset};
use ebonyusher::id::{AttemptId, Incarnation};
use ebonyusher::peer::{LinkReport, Load};
use ebonyusher::platform::{Instance, Phase};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use smallvec::smallvec;
use tokio::time::{Instant, advance};

const SEED: u64 = 7;

fn candidate(occupancy: f64) -> Candidate {
    Candidate { occupancy, in_flight: 0, distance: 0, cached: false }
}

fn instance(name: usize, domain: &str) -> Instance {
    let addr = "127.0.0.1:1".parse().unwrap();
    Instance {
        name: format!("chat-{name}"),
        service: "akwaaba/chat".to_owned(),
        domain: domain.to_owned(),
        data: addr,
        peer: addr,
        phase: Phase::Live,
    }
}

fn report(from: u64, running: u32, seq: u64) -> LinkReport {
    LinkReport {
        from: Incarnation::from_raw(from),
        leaving: false,
        up: true,
        load: Load { slots: 4, running, waiting: 0, wait_ms: 0, seq },
        next_ms: 2_000,
        revision: 1,
        crashes: smallvec![],
        cached: smallvec![],
        evicted: smallvec![],
    }
}

#[rstest]
#[case::near_wins_a_tie(Candidate { distance: 1, ..candidate(0.2) }, candidate(0.2))]
#[case::near_does_not_win_against_a_queue(
    candidate(1.5),
    Candidate { distance: 3, ..candidate(0.2) }
)]
#[case::cached_wins_a_near_tie(candidate(0.2), Candidate { cached: true, ..candidate(0.3) })]
#[case::cached_does_not_win_against_a_queue(
    Candidate { cached: true, ..candidate(1.1) },
    candidate(0.3)
)]
fn of_two_the_second_is_chosen(#[case] first: Candidate, #[case] second: Candidate) {
    let mut rng = SmallRng::seed_from_u64(SEED);

    let chosen =
        (0..64).filter(|_| PowerOfTwoChoices.choose(&[first, second], &mut rng) == 1).count();

    // Both draws fall on the first candidate in a quarter of the trials.
    assert!(chosen >= 38, "{chosen} of 64");
}

#[test]
fn if_all_have_queues_the_shortest_is_chosen() {
    let candidates: Vec<Candidate> =
        (0..16).map(|at| candidate(1.0 + f64::from((at + 5) % 16))).collect();
    let mut rng = SmallRng::seed_from_u64(SEED);

    let chosen = PowerOfTwoChoices.choose(&candidates, &mut rng);

    assert!((candidates[chosen].occupancy - 1.0).abs() < 1e-9);
}

#[tokio::test(start_paused = true)]
async fn own_requests_count_and_old_reports_fade() {
    let member = Member::new(instance(0, "osu"), 0);
    member.apply_report(&report(1, 4, 1));

    let reported = member.candidate(None, Instant::now()).occupancy;
    member.start_attempt(AttemptId::random(), &CrashKeys::default(), None);
    let with_own = member.candidate(None, Instant::now()).occupancy;
    advance(std::time::Duration::from_secs(20)).await;
    let faded = member.candidate(None, Instant::now()).occupancy;

    assert!((reported - 1.0).abs() < 1e-9);
    assert!((with_own - 1.25).abs() < 1e-9);
    assert!(faded < 0.3);
}

#[test]
fn a_late_report_is_dropped() {
    let member = Member::new(instance(0, "osu"), 0);
    member.apply_report(&report(1, 1, 5));

    member.update_load(Load { slots: 4, running: 4, waiting: 9, wait_ms: 0, seq: 4 });

    assert_eq!(member.status().load.running, 1);
}

#[test]
fn leaving_lasts_for_an_incarnation() {
    let member = Member::new(instance(0, "osu"), 0);
    member.apply_report(&report(1, 0, 1));

    member.mark_listed_leaving();
    let marked = member.is_candidate();
    member.apply_report(&report(1, 0, 2));
    let same = member.is_candidate();
    member.apply_report(&report(2, 0, 1));

    assert!(!marked && !same);
    assert!(member.is_candidate());
}

proptest! {
    #[test]
    fn a_subset_has_its_size_no_duplicates_and_near_instances(
        entry in any::<u64>(),
        count in 0_usize..120,
        max_size in 1_usize..24,
    ) {
        let domains = ["osu", "tema", "madina"];
        let all: Vec<Instance> = (0..count).map(|at| instance(at, domains[at % 3])).collect();
        let refs: Vec<&Instance> = all.iter().collect();
        let distance = |domain: &str| domains.iter().position(|name| *name == domain).unwrap();

        let picked = pick_subset(Incarnation::from_raw(entry), &refs, distance, max_size);

        let mut names: Vec<&str> = picked.iter().map(|inst| inst.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        prop_assert_eq!(names.len(), picked.len());
        prop_assert_eq!(picked.len(), count.min(max_size));
        let near = picked.iter().filter(|inst| inst.domain == "osu").count();
        prop_assert!(near >= (max_size / 2).min(count / 3));
    }
}
