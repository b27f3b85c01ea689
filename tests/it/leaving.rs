use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::outcome::Outcome;
use ebonyusher_bench::client::{Caller, Reply};
use http::Method;
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::site::{CALLER_KEY, Site, until};

const CHAT: &[u8] = br#"{"stream":true,"max_tokens":60,"messages":"a"}"#;

/// Starts so many chats that are under way when this returns.
async fn chats(site: &Site, count: usize) -> JoinSet<Reply> {
    let mut tasks = JoinSet::new();
    for at in 0..count {
        let to = site.entries[at % site.entries.len()].data_addr();
        tasks.spawn(async move {
            let body = Bytes::from_static(CHAT);
            Caller::new(CALLER_KEY).send(to, Method::POST, "/chat", None, body).await.unwrap()
        });
    }
    let started = || site.engines.iter().map(|engine| engine.handler.starts().count()).sum::<u64>();
    until(|| started() >= count as u64).await;
    sleep(Duration::from_millis(50)).await;
    tasks
}

async fn assert_all_whole(tasks: JoinSet<Reply>) {
    for reply in tasks.join_all().await {
        assert_eq!(reply.outcome, Some(Outcome::Ran));
        assert!(reply.ended_cleanly && reply.body.ends_with(b"data: [DONE]\n\n"));
    }
}

#[rstest]
#[case::sidecar(true, false)]
#[case::entry(false, true)]
#[case::both(true, true)]
#[tokio::test]
async fn a_graceful_shutdown_cuts_nothing(#[case] sidecar: bool, #[case] entry: bool) {
    let mut site = Site::start(2, 0, 2).await;
    let tasks = chats(&site, 8).await;

    let mut closing = JoinSet::new();
    if sidecar {
        closing.spawn(site.sidecars.remove(0).close());
    }
    if entry {
        closing.spawn(site.entries.remove(1).close());
    }
    closing.join_all().await;

    assert_all_whole(tasks).await;
}

#[tokio::test]
async fn a_leaving_upstream_gets_nothing_new() {
    let mut site = Site::start(2, 0, 1).await;
    let leaver = site.sidecars.remove(0);

    leaver.leave();
    let members = Arc::clone(site.entries[0].members());
    until(|| members.status()["chat-0"].leaving).await;
    let before = site.engines[0].handler.starts().count();
    for _ in 0..20 {
        assert_eq!(
            site.chat(r#"{"stream":true,"max_tokens":1}"#).await.outcome,
            Some(Outcome::Ran)
        );
    }

    assert_eq!(site.engines[0].handler.starts().count(), before);
    assert_eq!(site.engines[1].handler.starts().count(), 20);
}

#[tokio::test]
async fn leaving_by_the_list_alone_is_enough() {
    let site = Site::start(2, 0, 1).await;

    site.fleet.platform.platform.mark_leaving("chat-1");
    let members = Arc::clone(site.entries[0].members());
    until(|| members.status()["chat-1"].leaving).await;
    for _ in 0..10 {
        site.chat(r#"{"stream":true,"max_tokens":1}"#).await;
    }

    assert_eq!(site.engines[1].handler.starts().count(), 0);
}
