//! Bodies and heads that don't end.

use std::time::Duration;

use ebonyusher_standin::{Behavior, Crowd, PeakUsage, ProcessUsage};
use rstest::rstest;
use tokio::time::sleep;

use crate::cluster::{Cluster, MAX_BODY_BYTES, admin_request, entry_request, sidecar_request};

/// Memory that a node's process may take.
pub const NODE_BYTES: u64 = 128 << 20;
/// Memory that a process may keep once a crowd has left.
const LEFT_BYTES: u64 = NODE_BYTES / 2;
/// Time that callers have to send what they can.
const SEND_TIME: Duration = Duration::from_secs(20);
/// Time in which the memory of a crowd that has left must come back.
const RETURN_TIME: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of an operator's request body.
const ADMIN_BODY_BYTES: usize = 8 << 20;

/// What a crowd calls.
#[derive(Clone, Copy, Debug)]
enum Target {
    Entry,
    Sidecar,
    Admin,
}

#[rstest]
#[case::entry(Target::Entry, 300, Behavior::ShortBody(MAX_BODY_BYTES))]
#[case::entry_in_chunks(Target::Entry, 300, Behavior::ShortChunks(MAX_BODY_BYTES - 65_536, 65_536))]
#[case::entry_without_end(Target::Entry, 300, Behavior::EndlessChunks(65_536))]
#[case::entry_heads(Target::Entry, 2_000, Behavior::HalfHead(60 << 10))]
#[case::sidecar(Target::Sidecar, 300, Behavior::ShortBody(MAX_BODY_BYTES))]
#[case::sidecar_in_chunks(Target::Sidecar, 300, Behavior::ShortChunks(MAX_BODY_BYTES - 65_536, 65_536))]
#[case::sidecar_heads(Target::Sidecar, 1_500, Behavior::HalfHead(60 << 10))]
#[case::entry_heads_of_legal_size(Target::Entry, 2_000, Behavior::HalfHead(15 << 10))]
#[case::entry_answers_not_read(Target::Entry, 300, Behavior::UnreadEcho(512 << 10))]
#[case::sidecar_heads_of_legal_size(Target::Sidecar, 1_500, Behavior::HalfHead(15 << 10))]
#[case::sidecar_answers_not_read(Target::Sidecar, 300, Behavior::UnreadEcho(512 << 10))]
#[case::admin(Target::Admin, 40, Behavior::ShortBody(ADMIN_BODY_BYTES))]
#[tokio::test]
async fn requests_that_dont_end(
    #[case] target: Target,
    #[case] count: usize,
    #[case] behavior: Behavior,
) {
    let mut cluster = Cluster::start().await;
    let (addr, pid, request) = match target {
        Target::Entry => (cluster.entry_addr, cluster.entry.pid(), entry_request(behavior)),
        Target::Sidecar => (cluster.sidecar_addr, cluster.sidecar.pid(), sidecar_request(behavior)),
        Target::Admin => (cluster.admin_addr, cluster.entry.pid(), admin_request(behavior)),
    };
    let peak = PeakUsage::watch(pid);
    let crowd = Crowd::start(count, addr, &request);
    crowd.settled(SEND_TIME).await;
    eprintln!("{target:?} {behavior:?}: {} MB sent", crowd.sent_bytes() >> 20);

    cluster.serves(100).await;
    crowd.close().await;
    cluster.serves(MAX_BODY_BYTES).await;

    let left = memory_after_return(pid).await;
    let (memory, descriptors) = peak.close();
    eprintln!("{} MB at its peak, {} left, {descriptors} descriptors", memory >> 20, left >> 20);
    assert!(cluster.entry.is_running() && cluster.sidecar.is_running());
    assert!(memory <= NODE_BYTES, "{} MB held", memory >> 20);
    assert!(left <= LEFT_BYTES, "{} MB kept", left >> 20);
}

/// Waits until little memory is left, at most for [`RETURN_TIME`], and returns how much is.
async fn memory_after_return(pid: u32) -> u64 {
    let mut left = u64::MAX;
    for _ in 0..RETURN_TIME.as_millis() / POLL_INTERVAL.as_millis() {
        left = ProcessUsage::read(pid).expect("the process runs").memory();
        if left <= LEFT_BYTES {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    left
}
