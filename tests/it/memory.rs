//! What a process may hold for its callers.

use std::time::Duration;

use bytes::Bytes;
use ebonyusher::memory::{BodyBuffer, MemoryBudget, OutOfMemory};
use ebonyusher::net::{BodyLimits, ChannelBody, CollectError, receive};
use proptest::prelude::*;
use tokio::time::{advance, sleep};

const BUDGET_BYTES: usize = 40 << 20;
const LIMITS: BodyLimits = BodyLimits { max_bytes: 4 << 20, max_time: Duration::from_secs(10) };

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is announced and in whatever pieces it arrives, a body is kept as it was sent.
    #[test]
    fn a_body_is_kept_as_it_was_sent(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20_000), 0..12),
        announced in 0_usize..100_000,
        max_bytes in 0_usize..200_000,
    ) {
        let mut buffer = BodyBuffer::new(announced, max_bytes);

        pieces.iter().for_each(|piece| buffer.extend(piece));

        prop_assert_eq!(buffer.freeze(), pieces.concat());
    }

    /// Whatever bodies arrive together, small ones are read, and all take a bounded memory.
    #[test]
    fn bodies_without_end_take_bounded_memory_and_keep_out_no_small_one(
        chunks in prop::collection::vec(1_usize..200_000, 1..40),
    ) {
        const MAX_BODY_BYTES: usize = 16 << 20;
        let memory = MemoryBudget::new(BUDGET_BYTES);
        let mut bodies: Vec<_> = chunks.iter().map(|_| (memory.lease(), 0, true)).collect();

        for _ in 0..200 {
            for ((lease, bytes, is_open), chunk) in bodies.iter_mut().zip(&chunks) {
                *is_open = *is_open && *bytes + *chunk <= MAX_BODY_BYTES && lease.try_grow(*chunk);
                *bytes += if *is_open { *chunk } else { 0 };
            }
        }

        let kept: usize = bodies.iter().map(|body| body.1).sum();
        prop_assert!(kept <= BUDGET_BYTES, "{kept}");
        prop_assert_eq!(kept, memory.usage().held);
        prop_assert!(memory.lease().try_grow(60_000));
        drop(bodies);
        prop_assert_eq!(memory.usage().held, 0);
        prop_assert!(memory.lease().try_grow(16 << 20));
    }
}

#[tokio::test(start_paused = true)]
async fn who_stalls_loses_to_who_moves() {
    let memory = MemoryBudget::new(BUDGET_BYTES);
    let (mut stalled, mut moving) = (memory.lease(), memory.lease());
    assert!(stalled.try_grow(20 << 20) && moving.try_grow(10 << 20));
    let (first, mut second) = (memory.wait_for_caller(), memory.wait_for_caller());
    let mut newcomer = memory.lease();
    assert_eq!(newcomer.grow(4 << 20).await, Err(OutOfMemory));

    advance(Duration::from_millis(900)).await;
    second.moved(1 << 20);
    advance(Duration::from_millis(200)).await;
    let giving_way = async {
        first.displaced().await;
        stalled.close();
    };
    let (grown, ()) = tokio::join!(newcomer.grow(4 << 20), giving_way);

    assert_eq!(grown, Ok(()));
    assert_eq!((memory.usage().refused, memory.usage().displaced), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn a_body_that_drips_stalls() {
    let memory = MemoryBudget::new(8 << 20);
    let reader = memory.clone();
    let (sender, mut body) = ChannelBody::new();
    let dripping = async {
        while sender.send(Bytes::from_static(b"x")).await {
            sleep(Duration::from_millis(100)).await;
        }
    };
    let newcomer = async {
        sleep(Duration::from_secs(2)).await;
        let mut lease = memory.lease();
        assert!(lease.try_grow(6 << 20));
        memory.lease().grow(3 << 20).await
    };

    let reading = async move { receive(&mut body, LIMITS, &reader).await };
    let (read, (), grown) = tokio::join!(reading, dripping, newcomer);

    // It had to give way, which was not enough.
    assert_eq!((read, grown), (Err(CollectError::NoMemory), Err(OutOfMemory)));
}

#[tokio::test]
async fn a_single_body_is_read_whatever_the_budget() {
    let memory = MemoryBudget::new(1 << 20);
    let mut body = http_body_util::Full::new(Bytes::from(vec![b'x'; 4 << 20]));

    let read = receive(&mut body, LIMITS, &memory).await.unwrap();

    assert_eq!(memory.usage().held, 4 << 20);
    drop(read.slice(1..));
    drop(read);
    assert_eq!(memory.usage().held, 0);
}
