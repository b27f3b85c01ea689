//! Quarantine of requests that crash upstreams.

use std::collections::HashMap;
use std::time::Duration;

use ebonyusher::entry::{QuarantineStatus, Suspects};
use ebonyusher::peer::CrashReport;
use proptest::prelude::*;
use tokio::time::advance;

fn crash(event: u64, fingerprints: &[u64]) -> CrashReport {
    let prints = fingerprints.iter().copied().collect();
    CrashReport { event, prints, ..CrashReport::default() }
}

#[test]
fn two_crashes_quarantine_a_request_and_one_does_not() {
    let suspects = Suspects::default();

    suspects.record_crash(&crash(1, &[7, 8]));
    let once = suspects.status(7);
    suspects.record_crash(&crash(2, &[7]));

    assert_eq!(once, QuarantineStatus::Suspect);
    assert!(matches!(suspects.status(7), QuarantineStatus::Quarantined(_)));
    assert_eq!(suspects.status(8), QuarantineStatus::Suspect);
    assert_eq!(suspects.status(9), QuarantineStatus::Clear);
}

#[test]
fn a_completed_request_is_clear_again() {
    let suspects = Suspects::default();
    suspects.record_crash(&crash(1, &[7]));

    suspects.clear(7);

    assert_eq!(suspects.status(7), QuarantineStatus::Clear);
}

#[test]
fn a_completed_request_stays_clear_when_the_shared_crashes_are_read_again() {
    let suspects = Suspects::default();
    let shared = [crash(1, &[7]), crash(2, &[7])];
    shared.iter().for_each(|report| suspects.record_crash(report));

    suspects.clear(7);
    shared.iter().for_each(|report| suspects.record_crash(report));

    assert_eq!(suspects.status(7), QuarantineStatus::Clear);
}

#[tokio::test(start_paused = true)]
async fn old_crashes_no_longer_count() {
    let suspects = Suspects::default();
    suspects.record_crash(&crash(1, &[7]));
    suspects.record_crash(&crash(2, &[7]));

    advance(Duration::from_secs(601)).await;

    assert_eq!(suspects.status(7), QuarantineStatus::Clear);
}

#[tokio::test(start_paused = true)]
async fn sidecars_lost_together_blame_no_request() {
    let suspects = Suspects::default();

    suspects.record_lost_sidecar();
    let alone = suspects.is_single_loss();
    suspects.record_lost_sidecar();
    let together = suspects.is_single_loss();
    advance(Duration::from_secs(3)).await;
    suspects.record_lost_sidecar();

    assert!(alone && !together);
    assert!(suspects.is_single_loss());
}

/// Requests for one upstream: random ones and, if `poison` is set, the one that crashes it. Of
/// those in flight when it crashes, at most one is suspect already.
#[derive(Clone, Debug)]
struct Batch {
    fresh: Vec<u64>,
    poison: bool,
}

fn batch() -> impl Strategy<Value = Batch> {
    (prop::collection::vec(1_u64..1_000_000, 0..6), any::<bool>())
        .prop_map(|(fresh, poison)| Batch { fresh, poison })
}

proptest! {
    #[test]
    fn a_harmless_request_is_not_quarantined_for_one_that_crashes(
        batches in prop::collection::vec(batch(), 1..20),
    ) {
        const POISON: u64 = 0;
        let suspects = Suspects::default();
        let mut crashes = 0;
        let mut crashes_alongside: HashMap<u64, u32> = HashMap::new();
        for batch in batches {
            // Without the poison there is no crash, and a quarantined poison does not run.
            if !batch.poison
                || matches!(suspects.status(POISON), QuarantineStatus::Quarantined(_))
            {
                continue;
            }
            // A suspect request runs alongside no other suspect.
            let alone = suspects.status(POISON) == QuarantineStatus::Suspect;
            let clear =
                |fingerprint: &u64| suspects.status(*fingerprint) == QuarantineStatus::Clear;
            let others: Vec<u64> = batch
                .fresh
                .into_iter()
                .filter(|fingerprint| !alone || clear(fingerprint))
                .collect();
            crashes += 1;
            let mut fingerprints = others.clone();
            fingerprints.push(POISON);
            suspects.record_crash(&crash(crashes, &fingerprints));
            others
                .iter()
                .for_each(|fingerprint| *crashes_alongside.entry(*fingerprint).or_default() += 1);
        }

        prop_assert!(crashes <= 2);
        for (fingerprint, times) in crashes_alongside {
            let quarantined =
                matches!(suspects.status(fingerprint), QuarantineStatus::Quarantined(_));
            prop_assert!(!quarantined || times >= 2);
        }
    }
}
