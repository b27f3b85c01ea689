//! Faults at different moments of a request: the outcome that the caller gets, and how often the
//! request runs.

use std::time::Duration;

use ebonyusher::entry::PowerOfTwoChoices;
use ebonyusher::outcome::{Outcome, Reason};
use ebonyusher::sidecar::SidecarNode;
use ebonyusher_bench::client::Reply;
use ebonyusher_standin::Faults;
use rstest::rstest;
use tokio::time::sleep;

use crate::test_cluster::{TEAM, TestCluster, wait_until};

const LONG_CHAT: &str = r#"{"stream":true,"max_tokens":40,"messages":"a"}"#;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    StoreDown,
    UpstreamsGone,
    CrashWhileRunning,
    StallPastDeadline,
}

#[rstest]
#[case::store_down(Fault::StoreDown, Outcome::NotRun, Reason::StoreDown, 0)]
#[case::upstreams_gone(Fault::UpstreamsGone, Outcome::NotRun, Reason::NoUpstream, 0)]
#[case::crash_while_running(Fault::CrashWhileRunning, Outcome::Unknown, Reason::UpstreamLost, 1)]
#[case::stall(Fault::StallPastDeadline, Outcome::Unknown, Reason::UpstreamTimeout, 1)]
#[tokio::test]
async fn an_order_ends_with_the_true_outcome_of_each_fault(
    #[case] fault: Fault,
    #[case] outcome: Outcome,
    #[case] reason: Reason,
    #[case] runs: u32,
) {
    let mut cluster = TestCluster::start(0, 1, 1).await;
    match fault {
        Fault::StoreDown => {
            cluster.fleet.platform.platform.set_faults(Faults { down: true, ..Faults::default() });
        }
        Fault::UpstreamsGone => {
            cluster.plain_upstreams.remove(0).close();
            let members = cluster.entries[0].members();
            // The sidecar reports the upstream as down once a request finds it unreachable.
            cluster.post_order("probe", "{}").await;
            wait_until(|| !members.status()["ledger-0"].up).await;
        }
        Fault::CrashWhileRunning => {
            let plain = std::sync::Arc::clone(&cluster.plain_upstreams[0].handler);
            plain.set_stall(Duration::from_millis(300));
            tokio::spawn(async move {
                wait_until(|| plain.run_count("order") == 1).await;
                plain.crash();
            });
        }
        Fault::StallPastDeadline => {
            cluster.plain_upstreams[0].handler.set_stall(Duration::from_secs(60));
        }
    }

    let reply = cluster.post_order("order", "{}").await;

    assert_eq!((reply.outcome, reply.reason), (Some(outcome), Some(reason)));
    assert_eq!(cluster.runs("order"), runs);
}

#[tokio::test]
async fn an_order_whose_claim_is_confirmed_after_the_deadline_does_not_start() {
    let cluster = TestCluster::start(0, 1, 1).await;
    cluster.fleet.platform.platform.set_faults(Faults { slow_ms: 600, ..Faults::default() });
    let request =
        http::Request::post(format!("http://{}/ledger/orders", cluster.entries[0].data_addr()))
            .header("authorization", format!("Bearer {}", crate::test_cluster::CALLER_KEY))
            .header("idempotency-key", "late")
            .header("ebonyusher-deadline-ms", "300")
            .body(http_body_util::Full::new(bytes::Bytes::from_static(b"{}")))
            .unwrap();

    let answer = ebonyusher::net::h1_client().request(request).await.unwrap();
    sleep(Duration::from_millis(1_500)).await;

    assert_ne!(answer.headers()["ebonyusher-outcome"], "ran");
    assert_eq!(cluster.runs("late"), 0);
}

#[tokio::test]
async fn an_interrupted_order_never_runs_again_and_stays_unknown() {
    let cluster = TestCluster::start(0, 2, 1).await;
    for plain in &cluster.plain_upstreams {
        plain.handler.set_stall(Duration::from_millis(300));
    }
    let crashing: Vec<_> =
        cluster.plain_upstreams.iter().map(|plain| std::sync::Arc::clone(&plain.handler)).collect();
    tokio::spawn(async move {
        wait_until(|| crashing.iter().any(|plain| plain.run_count("order") == 1)).await;
        crashing.iter().for_each(|plain| plain.crash());
    });

    let first = cluster.post_order("order", "{}").await;
    let members = cluster.entries[0].members();
    wait_until(|| members.all().iter().all(|member| member.is_candidate())).await;
    let again = cluster.post_order("order", "{}").await;

    assert_eq!(first.outcome, Some(Outcome::Unknown));
    assert_eq!((again.outcome, again.reason), (Some(Outcome::Unknown), Some(Reason::Unsettled)));
    assert_eq!(cluster.runs("order"), 1);
}

#[tokio::test]
async fn a_crashed_engine_does_not_break_a_stream() {
    let cluster = TestCluster::start(2, 0, 1).await;
    let crashing: Vec<_> =
        cluster.engines.iter().map(|engine| std::sync::Arc::clone(&engine.handler)).collect();
    tokio::spawn(async move {
        wait_until(|| crashing.iter().any(|engine| engine.starts().count() > 0)).await;
        sleep(Duration::from_millis(80)).await;
        let busy = crashing.iter().find(|engine| engine.starts().count() > 0);
        busy.unwrap().crash();
    });

    let reply = cluster.chat(LONG_CHAT).await;

    let text = String::from_utf8(reply.body).unwrap();
    let tokens: Vec<String> =
        (0..40).map(|at| ebonyusher_standin::token(LONG_CHAT.as_bytes(), at)).collect();
    let seen: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split("\"content\":\"").nth(1))
        .map(|rest| &rest[..8])
        .collect();
    assert!(reply.ended_cleanly && text.ends_with("data: [DONE]\n\n"));
    assert_eq!(seen, tokens);
    assert_eq!(
        cluster.engines.iter().map(|engine| engine.handler.starts().count()).sum::<u64>(),
        2
    );
}

#[tokio::test]
async fn a_request_that_crashes_engines_is_quarantined_and_others_are_not() {
    let cluster = TestCluster::start(4, 0, 1).await;
    // The stand-in engine crashes on this word before the first token.
    let poison = r#"{"stream":true,"max_tokens":4,"messages":"poison"}"#;

    let first = cluster.chat(poison).await;
    wait_until(|| cluster.entries[0].suspects().quarantined_count() == 1).await;
    let again = cluster.chat(poison).await;
    let other = cluster.chat(r#"{"stream":true,"max_tokens":4,"messages":"b"}"#).await;

    let starts = cluster.engines.iter().map(|engine| engine.handler.starts().count()).sum::<u64>();
    assert_eq!(first.outcome, Some(Outcome::Unknown));
    assert_eq!((again.outcome, again.reason), (Some(Outcome::NotRun), Some(Reason::Poison)));
    assert_eq!(other.outcome, Some(Outcome::Ran));
    assert_eq!(starts, 3, "two crashes and the other request");
}

#[tokio::test]
async fn a_request_that_crashes_engines_in_the_middle_of_its_response_is_quarantined() {
    let cluster = TestCluster::start(4, 0, 1).await;
    // The stand-in engine crashes on this word after it has streamed some tokens.
    let venom = r#"{"stream":true,"max_tokens":40,"messages":"venom"}"#;

    let first = cluster.chat(venom).await;
    wait_until(|| cluster.entries[0].suspects().quarantined_count() == 1).await;
    let again = cluster.chat(venom).await;

    let starts = cluster.engines.iter().map(|engine| engine.handler.starts().count()).sum::<u64>();
    assert!(!first.ended_cleanly, "the caller must see that the response is incomplete");
    assert_eq!((again.outcome, again.reason), (Some(Outcome::NotRun), Some(Reason::Poison)));
    assert_eq!(starts, 2, "two engines crashed");
}

/// Sends a chat request whose prompt begins with `first`, like no other one.
async fn chat_after(cluster: &TestCluster, first: &str, at: u32) -> Reply {
    let messages = format!(r#"[{{"content":"{first}"}},{{"content":"{at}"}}]"#);
    cluster.chat(format!(r#"{{"stream":true,"max_tokens":4,"messages":{messages}}}"#)).await
}

#[tokio::test]
async fn requests_whose_prompts_share_a_part_that_crashes_engines_are_stopped_and_others_are_not() {
    const MAX_CRASHES: u64 = 5;
    let cluster = TestCluster::start(4, 0, 1).await;

    let mut others = Vec::new();
    for at in 0..8 {
        chat_after(&cluster, "poison", at).await;
        sleep(Duration::from_millis(300)).await;
        others.push(chat_after(&cluster, "rules", at).await.outcome);
    }

    let starts = cluster.engines.iter().map(|engine| engine.handler.starts().count()).sum::<u64>();
    assert_eq!(others, [Some(Outcome::Ran); 8]);
    assert!(starts - 8 <= MAX_CRASHES, "{} crashes", starts - 8);
}

#[tokio::test]
async fn crashes_seen_while_the_table_is_down_are_shared_after_it() {
    let mut cluster = TestCluster::start(4, 0, 1).await;
    cluster.fleet.platform.platform.set_faults(Faults { down: true, ..Faults::default() });
    cluster.chat(r#"{"stream":true,"max_tokens":4,"messages":"poison"}"#).await;
    wait_until(|| cluster.entries[0].suspects().quarantined_count() == 1).await;
    sleep(Duration::from_secs(2)).await;
    // Only the table can tell a new entry, whose sidecars are new as well.
    cluster.sidecars.drain(..).for_each(SidecarNode::kill);

    cluster.fleet.platform.platform.set_faults(Faults::default());
    let file = cluster.fleet.entry_file("entry-new", &[TEAM]);
    let new = cluster.fleet.entry(file, PowerOfTwoChoices).await.unwrap();

    wait_until(|| new.suspects().quarantined_count() == 1).await;
}
