//! Contract of the link between entries and sidecars.

use ebonyusher::id::Incarnation;
use ebonyusher::peer::{Hello, LinkReport, LinkRpcClient, SettingsRpcClient, Versions};
use ebonyusher_standin::{LINK_KEY, loopback};
use jsonrpsee::core::client::Subscription;
use jsonrpsee::ws_client::WsClientBuilder;

use crate::test_cluster::TestCluster;

fn hello(key: &str) -> Hello {
    Hello { key: key.to_owned(), from: Incarnation::random(), peer: loopback() }
}

async fn open(
    cluster: &TestCluster,
    key: &str,
) -> Result<Subscription<LinkReport>, jsonrpsee::core::ClientError> {
    let url = format!("ws://{}", cluster.sidecars[0].peer_addr());
    let client = WsClientBuilder::default().build(url).await.unwrap();
    let opened = client.open(hello(key)).await;
    // Dropping the client would close the connection.
    std::mem::forget(client);
    opened
}

#[tokio::test]
async fn a_link_reports_the_current_state_at_once_and_later_changes() {
    let cluster = TestCluster::start(1, 0, 1).await;
    let mut reports = open(&cluster, LINK_KEY).await.unwrap();

    let first = reports.next().await.unwrap().unwrap();
    cluster.sidecars[0].leave();
    let mut last = first.clone();
    while !last.leaving {
        last = reports.next().await.unwrap().unwrap();
    }

    assert_eq!(first.from, cluster.sidecars[0].incarnation());
    assert!(first.up && !first.leaving);
    assert_eq!((first.revision, first.load.slots), (1, 8));
    assert!(last.load.seq > first.load.seq);
}

#[tokio::test]
async fn without_the_link_key_calls_are_refused() {
    let cluster = TestCluster::start(1, 0, 1).await;
    let url = format!("ws://{}", cluster.sidecars[0].peer_addr());
    let client = WsClientBuilder::default().build(url).await.unwrap();

    let opened = open(&cluster, "wrong").await;
    let settings = client.newer("wrong".to_owned(), Versions::default()).await;
    let drained = client.drain(hello("wrong"), true).await;

    assert!(opened.is_err() && settings.is_err() && drained.is_err());
    assert!(client.newer(LINK_KEY.to_owned(), Versions::default()).await.unwrap().is_some());
}

#[tokio::test]
async fn a_request_without_the_link_key_runs_nothing() {
    let cluster = TestCluster::start(0, 1, 1).await;
    let to = cluster.sidecars[0].data_addr();
    let caller = ebonyusher_bench::client::Caller::over_h2("x");

    let reply =
        caller.send(to, http::Method::GET, "/ledger/1", None, bytes::Bytes::new()).await.unwrap();

    assert_eq!(reply.status, 401);
    assert_eq!(cluster.plain_upstreams[0].handler.starts().count(), 0);
}

#[tokio::test]
async fn cached_prefixes_reach_an_entry_that_did_not_send_the_requests() {
    let cluster = TestCluster::start(1, 0, 2).await;
    let prompt = |at: usize| format!("{at:02}").repeat(300);
    let caller = ebonyusher_bench::client::Caller::new(crate::test_cluster::CALLER_KEY);
    let to = cluster.entries[0].data_addr();
    let bodies: Vec<String> =
        (0..8).map(|at| format!(r#"{{"messages":"{}"}}"#, prompt(at))).collect();
    // An entry identifies a prompt prefix by the hash of the first 512 bytes of the body.
    let prefix = xxhash_rust::xxh3::xxh3_64(&bodies[0].as_bytes()[..512]);

    for body in &bodies {
        let body = body.clone().into();
        caller.send(to, http::Method::POST, "/chat", None, body).await.unwrap();
    }

    let members = cluster.entries[1].members().of("akwaaba/chat").unwrap();
    let now = tokio::time::Instant::now;
    crate::test_cluster::wait_until(|| members[0].candidate(Some(prefix), now()).cached).await;
}
