//! Contract of the link between entries and sidecars.

use ebonyusher::id::Incarnation;
use ebonyusher::peer::{Hello, LinkReport, LinkRpcClient, SettingsRpcClient, Versions};
use ebonyusher_standin::{LINK_KEY, loopback};
use jsonrpsee::core::client::Subscription;
use jsonrpsee::ws_client::WsClientBuilder;

use crate::site::Site;

fn hello(key: &str) -> Hello {
    Hello { key: key.to_owned(), from: Incarnation::random(), peer: loopback() }
}

async fn open(
    site: &Site,
    key: &str,
) -> Result<Subscription<LinkReport>, jsonrpsee::core::ClientError> {
    let url = format!("ws://{}", site.sidecars[0].peer_addr());
    let client = WsClientBuilder::default().build(url).await.unwrap();
    let opened = client.open(hello(key)).await;
    // The connection lives as long as its client.
    std::mem::forget(client);
    opened
}

#[tokio::test]
async fn a_link_tells_at_once_how_things_are_and_when_they_change() {
    let site = Site::start(1, 0, 1).await;
    let mut notes = open(&site, LINK_KEY).await.unwrap();

    let first = notes.next().await.unwrap().unwrap();
    site.sidecars[0].leave();
    let mut last = first.clone();
    while !last.leaving {
        last = notes.next().await.unwrap().unwrap();
    }

    assert_eq!(first.from, site.sidecars[0].incarnation());
    assert!(first.up && !first.leaving);
    assert_eq!((first.revision, first.load.slots), (1, 8));
    assert!(last.load.seq > first.load.seq);
}

#[tokio::test]
async fn without_the_link_key_nothing_is_told() {
    let site = Site::start(1, 0, 1).await;
    let url = format!("ws://{}", site.sidecars[0].peer_addr());
    let client = WsClientBuilder::default().build(url).await.unwrap();

    let opened = open(&site, "wrong").await;
    let settings = client.newer("wrong".to_owned(), Versions::default()).await;
    let drained = client.drain(hello("wrong"), true).await;

    assert!(opened.is_err() && settings.is_err() && drained.is_err());
    assert!(client.newer(LINK_KEY.to_owned(), Versions::default()).await.unwrap().is_some());
}

#[tokio::test]
async fn a_request_without_the_link_key_runs_nothing() {
    let site = Site::start(0, 1, 1).await;
    let to = site.sidecars[0].data_addr();
    let caller = ebonyusher_bench::client::Caller::over_h2("x");

    let reply =
        caller.send(to, http::Method::GET, "/ledger/1", None, bytes::Bytes::new()).await.unwrap();

    assert_eq!(reply.status, 401);
    assert_eq!(site.plains[0].handler.starts().count(), 0);
}

#[tokio::test]
async fn what_an_engine_caches_reaches_an_entry_that_did_not_send() {
    let site = Site::start(1, 0, 2).await;
    let prompt = |at: usize| format!("{at:02}").repeat(300);
    let caller = ebonyusher_bench::client::Caller::new(crate::site::CALLER_KEY);
    let to = site.entries[0].data_addr();
    let bodies: Vec<String> =
        (0..8).map(|at| format!(r#"{{"messages":"{}"}}"#, prompt(at))).collect();
    let prefix = xxhash_rust::xxh3::xxh3_64(&bodies[0].as_bytes()[..512]);

    for body in &bodies {
        let body = body.clone().into();
        caller.send(to, http::Method::POST, "/chat", None, body).await.unwrap();
    }

    let members = site.entries[1].members().of("akwaaba/chat").unwrap();
    let now = tokio::time::Instant::now;
    crate::site::until(|| members[0].candidate(Some(prefix), now()).cached).await;
}
