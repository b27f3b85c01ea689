//! Requests through an entry, a sidecar and an upstream without faults.

use std::sync::Arc;

use ebonyusher::outcome::Outcome;
use ebonyusher_standin::token;

use crate::test_cluster::TestCluster;

const CHAT: &str = r#"{"stream":true,"max_tokens":12,"messages":"a"}"#;

#[tokio::test]
async fn a_streamed_chat_arrives_complete() {
    let cluster = TestCluster::start(2, 0, 1).await;

    let reply = cluster.chat(CHAT).await;

    let text = String::from_utf8(reply.body).unwrap();
    let tokens = (0..12).all(|at| text.contains(&token(CHAT.as_bytes(), at)));
    assert_eq!((reply.status, reply.outcome), (200, Some(Outcome::Ran)));
    assert!(reply.ended_cleanly && tokens && text.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn an_order_sent_twice_runs_once_and_gets_the_same_answer() {
    let cluster = TestCluster::start(0, 2, 2).await;

    let first = cluster.post_order("one", "{}").await;
    let second = cluster.post_order("one", "{}").await;

    assert_eq!(first.outcome, Some(Outcome::Ran));
    assert_eq!(first.body, second.body);
    assert!(second.replayed);
    assert_eq!(cluster.runs("one"), 1);
}

#[tokio::test]
async fn concurrent_copies_of_an_order_run_once() {
    let cluster = Arc::new(TestCluster::start(0, 3, 1).await);
    let copies = (0..16).map(|_| {
        let cluster = Arc::clone(&cluster);
        tokio::spawn(async move { cluster.post_order("same", "{}").await })
    });

    let mut replies = Vec::new();
    for copy in copies.collect::<Vec<_>>() {
        replies.push(copy.await.unwrap());
    }

    assert_eq!(cluster.runs("same"), 1);
    assert!(replies.iter().any(|reply| reply.outcome == Some(Outcome::Ran)));
    assert!(replies.iter().all(|reply| reply.outcome != Some(Outcome::NotRun)));
}

#[tokio::test]
async fn a_key_used_with_another_body_is_refused() {
    let cluster = TestCluster::start(0, 1, 1).await;
    cluster.post_order("two", "{}").await;

    let reply = cluster.post_order("two", r#"{"other":1}"#).await;

    assert_eq!((reply.status, reply.outcome), (422, Some(Outcome::NotRun)));
    assert_eq!(cluster.runs("two"), 1);
}

#[tokio::test]
async fn a_caller_can_look_up_the_state_of_a_key() {
    let cluster = TestCluster::start(0, 1, 1).await;
    cluster.post_order("three", "{}").await;

    let ended = cluster.look_up("/ebonyusher/requests/ledger/three").await;
    let unused = cluster.look_up("/ebonyusher/requests/ledger/four").await;

    assert!(String::from_utf8(ended.body).unwrap().contains("\"state\":\"ended\""));
    assert!(String::from_utf8(unused.body).unwrap().contains("\"state\":\"free\""));
}
