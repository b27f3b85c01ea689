use std::collections::HashMap;
use std::time::Duration;

use ebonyusher::entry::{Suspects, Verdict};
use ebonyusher::peer::CrashNote;
use proptest::prelude::*;
use tokio::time::advance;

fn crash(event: u64, prints: &[u64]) -> CrashNote {
    CrashNote { event, prints: prints.iter().copied().collect() }
}

#[test]
fn two_crashes_hold_a_request_back_and_one_does_not() {
    let suspects = Suspects::default();

    suspects.note(&crash(1, &[7, 8]));
    let once = suspects.judge(7);
    suspects.note(&crash(2, &[7]));

    assert_eq!(once, Verdict::Suspect);
    assert!(matches!(suspects.judge(7), Verdict::Held(_)));
    assert_eq!(suspects.judge(8), Verdict::Suspect);
    assert_eq!(suspects.judge(9), Verdict::Clear);
}

#[test]
fn a_request_that_ran_to_its_end_is_clear_again() {
    let suspects = Suspects::default();
    suspects.note(&crash(1, &[7]));

    suspects.clear(7);

    assert_eq!(suspects.judge(7), Verdict::Clear);
}

#[tokio::test(start_paused = true)]
async fn old_crashes_no_longer_count() {
    let suspects = Suspects::default();
    suspects.note(&crash(1, &[7]));
    suspects.note(&crash(2, &[7]));

    advance(Duration::from_secs(601)).await;

    assert_eq!(suspects.judge(7), Verdict::Clear);
}

#[tokio::test(start_paused = true)]
async fn sidecars_lost_together_blame_no_request() {
    let suspects = Suspects::default();

    suspects.lost();
    let alone = suspects.is_single_loss();
    suspects.lost();
    let together = suspects.is_single_loss();
    advance(Duration::from_secs(3)).await;
    suspects.lost();

    assert!(alone && !together);
    assert!(suspects.is_single_loss());
}

/// Requests in flight at one upstream when it crashes: at most one of them is suspect already.
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
    fn an_innocent_request_is_not_held_back_by_one_that_crashes(
        batches in prop::collection::vec(batch(), 1..20),
    ) {
        const POISON: u64 = 0;
        let suspects = Suspects::default();
        let mut crashes = 0;
        let mut beside: HashMap<u64, u32> = HashMap::new();
        for batch in batches {
            if !batch.poison || matches!(suspects.judge(POISON), Verdict::Held(_)) {
                continue;
            }
            // A suspect runs with no other suspect beside it.
            let alone = suspects.judge(POISON) == Verdict::Suspect;
            let clear = |print: &u64| suspects.judge(*print) == Verdict::Clear;
            let others: Vec<u64> = batch.fresh.into_iter().filter(|print| !alone || clear(print)).collect();
            crashes += 1;
            let mut prints = others.clone();
            prints.push(POISON);
            suspects.note(&crash(crashes, &prints));
            others.iter().for_each(|print| *beside.entry(*print).or_default() += 1);
        }

        prop_assert!(crashes <= 2);
        for (print, times) in beside {
            let held = matches!(suspects.judge(print), Verdict::Held(_));
            prop_assert!(!held || times >= 2);
        }
    }
}
