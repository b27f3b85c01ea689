//! Loading of models and adapters by the upstreams of a service.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ebonyusher::outcome::Outcome;
use ebonyusher::settings::Models;
use tokio::time::{Duration, sleep};

use crate::test_cluster::{TEAM, TestCluster, team, wait_until};

const CHAT: &str = r#"{"stream":true,"max_tokens":2}"#;

fn target_models() -> Models {
    Models { model: "kite".into(), version: "2".into(), adapters: vec!["festival".into()] }
}

#[tokio::test]
async fn upstreams_load_a_model_one_at_a_time_while_others_serve() {
    let cluster = Arc::new(TestCluster::start(3, 0, 1).await);
    let mut settings = team();
    settings.services.get_mut("chat").unwrap().models = Some(target_models());
    let min_candidates = Arc::new(AtomicUsize::new(usize::MAX));
    let (watched, seen) = (Arc::clone(&cluster), Arc::clone(&min_candidates));
    let watch = tokio::spawn(async move {
        loop {
            let members = watched.entries[0].members().all();
            let candidates = members.iter().filter(|member| member.is_candidate()).count();
            seen.fetch_min(candidates, Ordering::SeqCst);
            sleep(Duration::from_millis(2)).await;
        }
    });

    cluster.admin().replace(TEAM, &settings, 1).await.unwrap();
    let loaded = || cluster.engines.iter().all(|engine| engine.handler.models() == target_models());
    while !loaded() {
        assert_eq!(cluster.chat(CHAT).await.outcome, Some(Outcome::Ran));
    }
    watch.abort();

    assert!(
        min_candidates.load(Ordering::SeqCst) >= 2,
        "more than one upstream was unavailable at a time"
    );
    let orders: Vec<usize> =
        cluster.engines.iter().map(|engine| engine.handler.orders().done.len()).collect();
    assert_eq!(orders, [1, 1, 1]);
    let members = cluster.entries[0].members();
    wait_until(|| members.all().iter().all(|member| member.is_candidate())).await;
}
