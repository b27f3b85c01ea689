//! Claims on idempotency keys: the request of a key runs at most once, also while writes to the
//! table fail or their answers are lost.

use std::sync::Arc;
use std::time::Duration;

use ebonyusher::id::{AttemptId, Incarnation};
use ebonyusher::metrics::Meter;
use ebonyusher::sidecar::{ClaimError, ClaimKey, ClaimOutcome, Claims, StoredAnswer};
use ebonyusher_standin::{Faults, MemPlatform, WriteOutcome};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

fn claims(platform: &Arc<MemPlatform>) -> Claims<MemPlatform> {
    let meter = Arc::new(Meter::local());
    Claims::new(Arc::clone(platform), Incarnation::random(), meter, TaskTracker::new())
}

fn answer() -> StoredAnswer {
    StoredAnswer::of(&http::Response::new(bytes::Bytes::from_static(b"done")))
}

fn key() -> ClaimKey {
    ClaimKey::new("akwaaba/osu", "akwaaba/ledger", "1")
}

async fn try_claim(claims: &Claims<MemPlatform>) -> Result<ClaimOutcome, ClaimError> {
    claims.claim(&key(), AttemptId::random(), "digest", Instant::now() + CLAIM_TIMEOUT).await
}

#[rstest]
#[case::answered(vec![], "won")]
#[case::answer_lost(vec![WriteOutcome::AnswerLost], "won")]
#[case::write_lost(vec![WriteOutcome::Lost], "won")]
#[case::both_lost(vec![WriteOutcome::Lost, WriteOutcome::AnswerLost], "won")]
#[case::refused(vec![WriteOutcome::Refused], "store-down")]
#[case::refused_after_doubt(vec![WriteOutcome::Lost, WriteOutcome::Refused], "won")]
#[case::never_answered(vec![WriteOutcome::Lost; 64], "store-down")]
#[tokio::test(start_paused = true)]
async fn a_claim_is_won_only_on_a_definite_answer(
    #[case] write_outcomes: Vec<WriteOutcome>,
    #[case] expected: &str,
) {
    let platform = Arc::new(MemPlatform::new());
    platform.script_writes(write_outcomes);

    let claimed = try_claim(&claims(&platform)).await;

    match expected {
        "won" => assert!(matches!(claimed, Ok(ClaimOutcome::Won(_))), "{claimed:?}"),
        _ => assert_eq!(claimed, Err(ClaimError::StoreDown)),
    }
}

#[tokio::test(start_paused = true)]
async fn no_claim_is_won_while_the_store_is_down() {
    let platform = Arc::new(MemPlatform::new());
    platform.set_faults(Faults { down: true, ..Faults::default() });

    let claimed = try_claim(&claims(&platform)).await;

    assert_eq!(claimed, Err(ClaimError::StoreDown));
}

#[tokio::test(start_paused = true)]
async fn a_claim_abandoned_in_doubt_is_withdrawn_even_if_its_write_was_applied() {
    let platform = Arc::new(MemPlatform::new());
    let tasks = TaskTracker::new();
    let meter = Arc::new(Meter::local());
    let claims = Claims::new(Arc::clone(&platform), Incarnation::random(), meter, tasks.clone());
    platform.script_writes(vec![WriteOutcome::AnswerLost]);
    platform.set_faults(Faults { lost_answers: 1.0, ..Faults::default() });
    let deadline = Instant::now() + Duration::from_millis(1);

    let abandoned = claims.claim(&key(), AttemptId::random(), "digest", deadline).await;
    platform.set_faults(Faults::default());
    tasks.close();
    tasks.wait().await;

    assert_eq!(abandoned, Err(ClaimError::StoreDown));
    assert!(matches!(try_claim(&claims).await, Ok(ClaimOutcome::Won(_))));
}

#[rstest]
#[case::ended(true)]
#[case::unsettled(false)]
#[tokio::test(start_paused = true)]
async fn the_state_of_a_finished_key_is_permanent(#[case] finishes: bool) {
    let platform = Arc::new(MemPlatform::new());
    let first = claims(&platform);
    let Ok(ClaimOutcome::Won(held)) = try_claim(&first).await else { panic!("not won") };

    let running = try_claim(&claims(&platform)).await;
    match finishes {
        true => first.finish(held, answer()).await,
        false => first.mark_unsettled(held).await,
    }
    let later = try_claim(&claims(&platform)).await;

    let expected = if finishes { ClaimOutcome::Ended(answer()) } else { ClaimOutcome::Unsettled };
    assert_eq!((running, later), (Ok(ClaimOutcome::InProgress), Ok(expected)));
}

/// What a sidecar does after it has won a claim.
#[derive(Clone, Copy, Debug)]
enum WinnerBehavior {
    /// It runs the request and stores the response.
    Finishes,
    /// It runs the request and crashes.
    Crashes,
    /// It runs the request and loses the response.
    LosesAnswer,
    /// It finds that the request can't have reached the upstream, and releases the claim.
    NotSent,
}

fn write_outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        4 => Just(WriteOutcome::Answered),
        2 => Just(WriteOutcome::AnswerLost),
        2 => Just(WriteOutcome::Lost),
        1 => Just(WriteOutcome::Refused),
    ]
}

fn winner_behavior() -> impl Strategy<Value = WinnerBehavior> {
    prop_oneof![
        Just(WinnerBehavior::Finishes),
        Just(WinnerBehavior::Crashes),
        Just(WinnerBehavior::LosesAnswer),
        Just(WinnerBehavior::NotSent)
    ]
}

async fn attempt(platform: Arc<MemPlatform>, winner_behavior: WinnerBehavior) -> u32 {
    let claims = claims(&platform);
    let Ok(ClaimOutcome::Won(held)) = try_claim(&claims).await else {
        return 0;
    };
    match winner_behavior {
        WinnerBehavior::Finishes => claims.finish(held, answer()).await,
        WinnerBehavior::LosesAnswer => claims.mark_unsettled(held).await,
        WinnerBehavior::Crashes => {}
        WinnerBehavior::NotSent => {
            claims.release(held).await;
            return 0;
        }
    }
    1
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn a_key_runs_at_most_once_whatever_writes_are_lost(
        write_outcomes in prop::collection::vec(write_outcome(), 0..40),
        rounds in prop::collection::vec(prop::collection::vec(winner_behavior(), 1..4), 1..6),
    ) {
        let runs = runtime().block_on(async {
            let platform = Arc::new(MemPlatform::new());
            platform.script_writes(write_outcomes);
            let mut runs = 0;
            for round in rounds {
                let mut attempts = tokio::task::JoinSet::new();
                for winner_behavior in round {
                    attempts.spawn(attempt(Arc::clone(&platform), winner_behavior));
                }
                while let Some(ran) = attempts.join_next().await {
                    runs += ran.unwrap();
                }
            }
            runs
        });

        prop_assert!(runs <= 1, "ran {} times", runs);
    }
}
