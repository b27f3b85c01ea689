//! The admission queue of a sidecar.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonyusher::settings::Priority;
use ebonyusher::sidecar::{Queue, QueueError, SlotRequest};
use proptest::prelude::*;
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const RUN_TIME: Duration = Duration::from_millis(10);

fn slot_request(account: &str) -> SlotRequest<'_> {
    SlotRequest {
        account,
        weight: 1.0,
        cost: 10.0,
        priority: Priority::Normal,
        max_wait: Duration::from_secs(60),
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

/// Runs one request of an account, and records the account when the request gets its slot.
async fn run(queue: Arc<Queue>, account: String, weight: f64, served: Arc<Mutex<Vec<String>>>) {
    let slot_request = SlotRequest { weight, ..slot_request(&account) };
    let Ok(permit) = queue.admit(&slot_request).await else {
        return;
    };
    served.lock().unwrap().push(account);
    sleep(RUN_TIME).await;
    permit.complete(10.0);
}

#[tokio::test(start_paused = true)]
async fn a_flood_from_one_account_does_not_delay_another() {
    let queue = Queue::new(1);
    let served = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = JoinSet::new();
    for _ in 0..50 {
        tasks.spawn(run(Arc::clone(&queue), "flood".into(), 1.0, Arc::clone(&served)));
    }
    sleep(Duration::from_millis(1)).await;

    tasks.spawn(run(Arc::clone(&queue), "quiet".into(), 1.0, Arc::clone(&served)));
    tasks.join_all().await;

    let order = served.lock().unwrap();
    let place = order.iter().position(|account| account == "quiet").unwrap();
    assert!(place <= 2, "served as number {place}");
}

#[tokio::test(start_paused = true)]
async fn an_account_over_its_share_leaves_the_last_slot_to_others() {
    let queue = Queue::new(4);
    for account in ["quiet", "other"] {
        queue.admit(&slot_request(account)).await.unwrap().complete(10.0);
    }
    let mut flood = JoinSet::new();
    for _ in 0..20 {
        flood.spawn(run(Arc::clone(&queue), "flood".into(), 1.0, Arc::default()));
    }
    sleep(Duration::from_millis(1)).await;
    let held = queue.load().running;

    let began = Instant::now();
    let admitted = queue.admit(&slot_request("quiet")).await;

    assert_eq!(held, 3);
    assert!(admitted.is_ok() && began.elapsed().is_zero());
}

#[tokio::test(start_paused = true)]
async fn a_single_account_gets_every_slot() {
    let queue = Queue::new(4);
    let mut flood = JoinSet::new();
    for _ in 0..20 {
        flood.spawn(run(Arc::clone(&queue), "flood".into(), 1.0, Arc::default()));
    }

    sleep(Duration::from_millis(1)).await;

    assert_eq!(queue.load().running, 4);
}

#[tokio::test(start_paused = true)]
async fn a_higher_priority_goes_first() {
    let queue = Queue::new(1);
    let first = queue.admit(&slot_request("a")).await.unwrap();
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = JoinSet::new();
    for priority in [Priority::Low, Priority::Normal, Priority::High] {
        let (queue, order) = (Arc::clone(&queue), Arc::clone(&order));
        tasks.spawn(async move {
            let permit = queue.admit(&SlotRequest { priority, ..slot_request("a") }).await.unwrap();
            order.lock().unwrap().push(priority);
            permit.complete(10.0);
        });
        sleep(Duration::from_millis(1)).await;
    }

    first.complete(10.0);
    tasks.join_all().await;

    assert_eq!(*order.lock().unwrap(), [Priority::High, Priority::Normal, Priority::Low]);
}

#[rstest]
#[case::wait_limit(Duration::from_millis(5), Duration::from_secs(60), QueueError::Overload)]
#[case::deadline(Duration::from_secs(60), Duration::from_millis(5), QueueError::Deadline)]
#[tokio::test(start_paused = true)]
async fn a_request_is_refused_at_its_wait_limit_or_deadline(
    #[case] max_wait: Duration,
    #[case] time_left: Duration,
    #[case] error: QueueError,
) {
    let queue = Queue::new(1);
    let _running = queue.admit(&slot_request("a")).await.unwrap();
    let began = Instant::now();

    let refused = queue
        .admit(&SlotRequest { max_wait, deadline: began + time_left, ..slot_request("b") })
        .await;

    assert_eq!(refused.err(), Some(error));
    assert!(began.elapsed() <= Duration::from_millis(6));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let queue = Queue::new(1);
    let permit = queue.admit(&slot_request("a")).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    permit.complete(10.0);
    let began = Instant::now();

    let deadline = began + Duration::from_millis(50);
    let refused = queue.admit(&SlotRequest { deadline, ..slot_request("a") }).await;

    assert_eq!(refused.err(), Some(QueueError::Deadline));
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn closing_refuses_waiting_requests_and_reopening_admits_new_ones() {
    let queue = Queue::new(1);
    let running = queue.admit(&slot_request("a")).await.unwrap();
    let waiting = {
        let queue = Arc::clone(&queue);
        tokio::spawn(async move { queue.admit(&slot_request("b")).await.err() })
    };
    sleep(Duration::from_millis(1)).await;

    queue.close();
    let waited = waiting.await.unwrap();
    let later = queue.admit(&slot_request("c")).await.err();
    running.complete(10.0);
    queue.reopen();

    assert_eq!((waited, later), (Some(QueueError::Closed), Some(QueueError::Closed)));
    assert!(queue.admit(&slot_request("c")).await.is_ok());
}

/// What a request does in the queue.
#[derive(Clone, Copy, Debug)]
enum RequestBehavior {
    /// It waits for a slot and runs to completion.
    Runs,
    /// It waits only for a short time, and drops a slot that it gets.
    GivesUpWaiting,
    /// It gets a slot and is dropped while it runs.
    IsDropped,
}

fn request_behavior() -> impl Strategy<Value = RequestBehavior> {
    prop_oneof![
        Just(RequestBehavior::Runs),
        Just(RequestBehavior::GivesUpWaiting),
        Just(RequestBehavior::IsDropped)
    ]
}

async fn send(queue: Arc<Queue>, account: u8, behavior: RequestBehavior, start: u64) {
    sleep(Duration::from_millis(start)).await;
    let account = account.to_string();
    let slot_request = slot_request(&account);
    match behavior {
        RequestBehavior::Runs => {
            if let Ok(permit) = queue.admit(&slot_request).await {
                sleep(RUN_TIME).await;
                permit.complete(7.0);
            }
        }
        RequestBehavior::GivesUpWaiting => {
            tokio::time::timeout(Duration::from_millis(3), queue.admit(&slot_request)).await.ok();
        }
        RequestBehavior::IsDropped => {
            if let Ok(permit) = queue.admit(&slot_request).await {
                sleep(RUN_TIME / 2).await;
                drop(permit);
            }
        }
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn no_slot_is_lost_or_given_twice(
        slots in 1_u32..4,
        requests in prop::collection::vec((0_u8..4, request_behavior(), 0_u64..40), 1..60),
    ) {
        runtime().block_on(async {
            let queue = Queue::new(slots);
            let mut tasks = JoinSet::new();
            for (account, behavior, start) in requests {
                tasks.spawn(send(Arc::clone(&queue), account, behavior, start));
            }
            while !tasks.is_empty() {
                assert!(queue.load().running <= slots);
                tokio::time::timeout(Duration::from_millis(1), tasks.join_next()).await.ok();
            }
            let load = queue.load();
            assert_eq!((load.running, load.waiting), (0, 0));
        });
    }

    #[test]
    fn backlogged_accounts_are_served_by_weight(
        weights in prop::collection::vec(1_u8..5, 2..5),
        slots in 1_u32..4,
    ) {
        runtime().block_on(async {
            let queue = Queue::new(slots);
            let served = Arc::new(Mutex::new(Vec::new()));
            let mut tasks = JoinSet::new();
            for _ in 0..80 {
                for (at, weight) in weights.iter().enumerate() {
                    let served = Arc::clone(&served);
                    let weight = f64::from(*weight);
                    tasks.spawn(run(Arc::clone(&queue), at.to_string(), weight, served));
                }
            }
            tasks.join_all().await;
            // While all accounts have requests waiting, each is served its weighted share, within
            // two requests plus the number of slots.
            let sum: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
            let first = served.lock().unwrap()[..60].to_vec();
            let mut counts: HashMap<String, f64> = HashMap::new();
            first.into_iter().for_each(|account| *counts.entry(account).or_default() += 1.0);
            for (at, weight) in weights.iter().enumerate() {
                let expected = 60.0 * f64::from(*weight) / sum;
                let actual = counts.get(&at.to_string()).copied().unwrap_or_default();
                assert!(
                    (actual - expected).abs() <= 2.0 + f64::from(slots),
                    "{actual} of {expected}"
                );
            }
        });
    }
}
