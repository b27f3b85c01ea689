//! Leases and their fencing tokens.

use std::sync::Arc;
use std::time::Duration;

use ebonyusher::id::Incarnation;
use ebonyusher::lease::{Lease, LeaseError};
use ebonyusher_standin::{Faults, MemPlatform, WriteOutcome};
use tokio::time::advance;

const LEASE_TIME: Duration = Duration::from_secs(10);

fn lease(platform: &Arc<MemPlatform>) -> Lease<MemPlatform> {
    Lease::new(Arc::clone(platform), "group/a", Incarnation::random(), LEASE_TIME)
}

#[tokio::test(start_paused = true)]
async fn only_one_process_holds_a_lease() {
    let platform = Arc::new(MemPlatform::new());
    let (mut first, mut second) = (lease(&platform), lease(&platform));

    let held = first.hold().await;
    let taken = second.hold().await;
    advance(LEASE_TIME / 2).await;
    let renewed = first.hold().await;
    advance(LEASE_TIME / 2 + Duration::from_secs(1)).await;

    assert_eq!((held, taken, renewed), (Ok(1), Err(LeaseError::Taken), Ok(1)));
    assert_eq!(second.hold().await, Err(LeaseError::Taken));
}

#[tokio::test(start_paused = true)]
async fn a_paused_holder_loses_its_lease_to_one_with_a_greater_fence() {
    let platform = Arc::new(MemPlatform::new());
    let (mut paused, mut next) = (lease(&platform), lease(&platform));
    let old = paused.hold().await.unwrap();
    next.hold().await.unwrap_err();

    advance(LEASE_TIME + Duration::from_secs(1)).await;
    let new = next.hold().await.unwrap();

    assert_eq!(paused.fence(), None);
    assert!(new > old);
    assert_eq!(paused.hold().await, Err(LeaseError::Taken));
}

#[tokio::test(start_paused = true)]
async fn a_holder_stops_before_another_can_take_over() {
    let platform = Arc::new(MemPlatform::new());
    let (mut holder, mut other) = (lease(&platform), lease(&platform));
    holder.hold().await.unwrap();
    other.hold().await.unwrap_err();

    advance(LEASE_TIME.mul_f64(0.8)).await;

    assert_eq!(holder.fence(), None);
    assert_eq!(other.hold().await, Err(LeaseError::Taken));
}

#[tokio::test(start_paused = true)]
async fn a_lease_outlives_a_short_outage_and_ends_in_a_long_one() {
    let platform = Arc::new(MemPlatform::new());
    let mut holder = lease(&platform);
    holder.hold().await.unwrap();

    platform.set_faults(Faults { down: true, ..Faults::default() });
    let down = holder.hold().await;
    let short = holder.fence();
    advance(LEASE_TIME).await;

    assert_eq!((down, short), (Err(LeaseError::StoreDown), Some(1)));
    assert_eq!(holder.fence(), None);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_does_not_lose_the_lease() {
    let platform = Arc::new(MemPlatform::new());
    let mut holder = lease(&platform);
    platform.script_writes([WriteOutcome::AnswerLost]);

    let lost = holder.hold().await;

    assert_eq!(lost, Err(LeaseError::StoreDown));
    assert_eq!(holder.hold().await, Ok(1));
}

#[tokio::test(start_paused = true)]
async fn a_released_lease_is_free_and_its_fence_never_decreases() {
    let platform = Arc::new(MemPlatform::new());
    let (mut first, mut second) = (lease(&platform), lease(&platform));
    first.hold().await.unwrap();
    let advanced = first.advance().await.unwrap();

    first.release().await;

    assert_eq!(advanced, 2);
    assert_eq!(second.hold().await, Ok(3));
}
