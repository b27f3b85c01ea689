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

const PATIENCE: Duration = Duration::from_secs(2);

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
    claims.claim(&key(), AttemptId::random(), "digest", Instant::now() + PATIENCE).await
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
    #[case] fates: Vec<WriteOutcome>,
    #[case] told: &str,
) {
    let platform = Arc::new(MemPlatform::new());
    platform.script_writes(fates);

    let claimed = try_claim(&claims(&platform)).await;

    match told {
        "won" => assert!(matches!(claimed, Ok(ClaimOutcome::Won(_))), "{claimed:?}"),
        _ => assert_eq!(claimed, Err(ClaimError::StoreDown)),
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_starts_while_the_store_is_down() {
    let platform = Arc::new(MemPlatform::new());
    platform.set_faults(Faults { down: true, ..Faults::default() });

    let claimed = try_claim(&claims(&platform)).await;

    assert_eq!(claimed, Err(ClaimError::StoreDown));
}

#[tokio::test(start_paused = true)]
async fn a_claim_given_up_in_doubt_is_withdrawn_even_if_its_write_arrives() {
    let platform = Arc::new(MemPlatform::new());
    let tasks = TaskTracker::new();
    let meter = Arc::new(Meter::local());
    let claims = Claims::new(Arc::clone(&platform), Incarnation::random(), meter, tasks.clone());
    platform.script_writes(vec![WriteOutcome::AnswerLost]);
    platform.set_faults(Faults { lost_answers: 1.0, ..Faults::default() });
    let deadline = Instant::now() + Duration::from_millis(1);

    let given_up = claims.claim(&key(), AttemptId::random(), "digest", deadline).await;
    platform.set_faults(Faults::default());
    tasks.close();
    tasks.wait().await;

    assert_eq!(given_up, Err(ClaimError::StoreDown));
    assert!(matches!(try_claim(&claims).await, Ok(ClaimOutcome::Won(_))));
}

#[rstest]
#[case::ended(true)]
#[case::unsettled(false)]
#[tokio::test(start_paused = true)]
async fn what_became_of_a_key_stays(#[case] ends: bool) {
    let platform = Arc::new(MemPlatform::new());
    let first = claims(&platform);
    let Ok(ClaimOutcome::Won(held)) = try_claim(&first).await else { panic!("not won") };

    let running = try_claim(&claims(&platform)).await;
    match ends {
        true => first.finish(held, answer()).await,
        false => first.mark_unsettled(held).await,
    }
    let later = try_claim(&claims(&platform)).await;

    let expected = if ends { ClaimOutcome::Ended(answer()) } else { ClaimOutcome::Unsettled };
    assert_eq!((running, later), (Ok(ClaimOutcome::InProgress), Ok(expected)));
}

/// What a sidecar does with a claim that it has won.
#[derive(Clone, Copy, Debug)]
enum Course {
    /// It runs the request and keeps the answer.
    Ends,
    /// It runs the request and dies.
    Dies,
    /// It runs the request and loses the answer.
    Breaks,
    /// It finds that the request can't have reached the upstream.
    NotSent,
}

fn fate() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        4 => Just(WriteOutcome::Answered),
        2 => Just(WriteOutcome::AnswerLost),
        2 => Just(WriteOutcome::Lost),
        1 => Just(WriteOutcome::Refused),
    ]
}

fn course() -> impl Strategy<Value = Course> {
    prop_oneof![Just(Course::Ends), Just(Course::Dies), Just(Course::Breaks), Just(Course::NotSent)]
}

async fn send(platform: Arc<MemPlatform>, course: Course) -> u32 {
    let claims = claims(&platform);
    let Ok(ClaimOutcome::Won(held)) = try_claim(&claims).await else {
        return 0;
    };
    match course {
        Course::Ends => claims.finish(held, answer()).await,
        Course::Breaks => claims.mark_unsettled(held).await,
        Course::Dies => {}
        Course::NotSent => {
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
    fn a_key_runs_at_most_once_whatever_the_table_loses(
        fates in prop::collection::vec(fate(), 0..40),
        rounds in prop::collection::vec(prop::collection::vec(course(), 1..4), 1..6),
    ) {
        let runs = runtime().block_on(async {
            let platform = Arc::new(MemPlatform::new());
            platform.script_writes(fates);
            let mut runs = 0;
            for round in rounds {
                let mut sent = tokio::task::JoinSet::new();
                for course in round {
                    sent.spawn(send(Arc::clone(&platform), course));
                }
                while let Some(ran) = sent.join_next().await {
                    runs += ran.unwrap();
                }
            }
            runs
        });

        prop_assert!(runs <= 1, "ran {} times", runs);
    }
}
