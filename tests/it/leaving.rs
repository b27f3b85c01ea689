//! Shutdown of sidecars and entries, and upstreams that leave.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::net::{DEADLINE_MS, IDEMPOTENCY_KEY};
use ebonyusher::outcome::Outcome;
use ebonyusher_bench::client::{Caller, Reply};
use ebonyusher_standin::Faults;
use http::Method;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::test_cluster::{CALLER_KEY, TestCluster, wait_until};

const CHAT: &[u8] = br#"{"stream":true,"max_tokens":60,"messages":"a"}"#;

/// Starts `count` chats, and returns when the engines have started them and are streaming.
async fn start_chats(cluster: &TestCluster, count: usize) -> JoinSet<Reply> {
    let mut tasks = JoinSet::new();
    for at in 0..count {
        let to = cluster.entries[at % cluster.entries.len()].data_addr();
        tasks.spawn(async move {
            let body = Bytes::from_static(CHAT);
            Caller::new(CALLER_KEY).send(to, Method::POST, "/chat", None, body).await.unwrap()
        });
    }
    let started =
        || cluster.engines.iter().map(|engine| engine.handler.starts().count()).sum::<u64>();
    wait_until(|| started() >= count as u64).await;
    sleep(Duration::from_millis(50)).await;
    tasks
}

async fn assert_all_complete(tasks: JoinSet<Reply>) {
    for reply in tasks.join_all().await {
        assert_eq!(reply.outcome, Some(Outcome::Ran));
        assert!(reply.ended_cleanly && reply.body.ends_with(b"data: [DONE]\n\n"));
    }
}

const ORDER_KEY: &str = "order-1";

/// Begins an order, without its body, whose caller waits for longer than any process takes to stop.
async fn begin_long_order(cluster: &TestCluster) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.entries[0].data_addr()).await.expect("connects");
    let head = format!(
        "POST /ledger/orders HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
         {DEADLINE_MS}: 600000\r\n{IDEMPOTENCY_KEY}: {ORDER_KEY}\r\nContent-Length: 5\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("writes");
    stream
}

async fn complete(mut stream: TcpStream) -> String {
    stream.write_all(b"order").await.ok();
    let mut bytes = [0; 4_096];
    let count = stream.read(&mut bytes).await.unwrap_or_default();
    String::from_utf8_lossy(&bytes[..count]).to_lowercase()
}

/// Guards against an order that is whole late, is passed on and cut off at the end of the grace time
/// (issue 51, second report).
#[tokio::test]
async fn an_entry_that_stops_begins_no_order_that_may_outlast_it() {
    let mut cluster = TestCluster::start(0, 1, 1).await;
    let order = begin_long_order(&cluster).await;
    sleep(Duration::from_millis(50)).await;

    let closing = tokio::spawn(cluster.entries.remove(0).close());
    sleep(Duration::from_millis(400)).await;
    let answer = complete(order).await;
    closing.await.unwrap();

    assert!(answer.starts_with("http/1.1 503 ") && answer.contains("not-run"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    assert_eq!(cluster.runs(ORDER_KEY), 0);
}

/// The same for a sidecar that has taken an order and waits for the claim on its key.
#[tokio::test]
async fn a_sidecar_that_stops_begins_no_order_that_may_outlast_it() {
    let mut cluster = TestCluster::start(0, 1, 1).await;
    cluster.fleet.platform.platform.set_faults(Faults { slow_ms: 400, ..Faults::default() });
    let answer = tokio::spawn(complete(begin_long_order(&cluster).await));
    sleep(Duration::from_millis(150)).await;

    let closing = tokio::spawn(cluster.sidecars.remove(0).close());
    let answer = answer.await.unwrap();
    closing.await.unwrap();

    assert!(answer.starts_with("http/1.1 503 ") && answer.contains("not-run"), "{answer}");
    assert_eq!(cluster.runs(ORDER_KEY), 0);
}

#[rstest]
#[case::sidecar(true, false)]
#[case::entry(false, true)]
#[case::both(true, true)]
#[tokio::test]
async fn a_graceful_shutdown_cuts_no_stream(#[case] sidecar: bool, #[case] entry: bool) {
    let mut cluster = TestCluster::start(2, 0, 2).await;
    let tasks = start_chats(&cluster, 8).await;

    let mut closing = JoinSet::new();
    if sidecar {
        closing.spawn(cluster.sidecars.remove(0).close());
    }
    if entry {
        closing.spawn(cluster.entries.remove(1).close());
    }
    closing.join_all().await;

    assert_all_complete(tasks).await;
}

#[tokio::test]
async fn a_leaving_upstream_gets_no_new_requests() {
    let mut cluster = TestCluster::start(2, 0, 1).await;
    let leaving_sidecar = cluster.sidecars.remove(0);

    leaving_sidecar.leave();
    let members = Arc::clone(cluster.entries[0].members());
    wait_until(|| members.status()["chat-0"].leaving).await;
    let before = cluster.engines[0].handler.starts().count();
    for _ in 0..20 {
        assert_eq!(
            cluster.chat(r#"{"stream":true,"max_tokens":1}"#).await.outcome,
            Some(Outcome::Ran)
        );
    }

    assert_eq!(cluster.engines[0].handler.starts().count(), before);
    assert_eq!(cluster.engines[1].handler.starts().count(), 20);
}

#[tokio::test]
async fn an_upstream_listed_as_leaving_gets_no_requests() {
    let cluster = TestCluster::start(2, 0, 1).await;

    cluster.fleet.platform.platform.mark_leaving("chat-1");
    let members = Arc::clone(cluster.entries[0].members());
    wait_until(|| members.status()["chat-1"].leaving).await;
    for _ in 0..10 {
        cluster.chat(r#"{"stream":true,"max_tokens":1}"#).await;
    }

    assert_eq!(cluster.engines[1].handler.starts().count(), 0);
}
