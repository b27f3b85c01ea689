use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ebonyusher::outcome::Outcome;
use ebonyusher::settings::Models;
use tokio::time::{Duration, sleep};

use crate::site::{Site, TEAM, team, until};

const CHAT: &str = r#"{"stream":true,"max_tokens":2}"#;

fn wanted() -> Models {
    Models { model: "kite".into(), version: "2".into(), adapters: vec!["festival".into()] }
}

#[tokio::test]
async fn workers_are_brought_to_a_model_one_at_a_time_while_others_serve() {
    let site = Arc::new(Site::start(3, 0, 1).await);
    let mut settings = team();
    settings.services.get_mut("chat").unwrap().models = Some(wanted());
    let fewest = Arc::new(AtomicUsize::new(usize::MAX));
    let (watched, seen) = (Arc::clone(&site), Arc::clone(&fewest));
    let watch = tokio::spawn(async move {
        loop {
            let members = watched.entries[0].members().all();
            let open = members.iter().filter(|member| member.is_candidate()).count();
            seen.fetch_min(open, Ordering::SeqCst);
            sleep(Duration::from_millis(2)).await;
        }
    });

    site.admin().replace(TEAM, &settings, 1).await.unwrap();
    let loaded = || site.engines.iter().all(|engine| engine.handler.models() == wanted());
    while !loaded() {
        assert_eq!(site.chat(CHAT).await.outcome, Some(Outcome::Ran));
    }
    watch.abort();

    assert!(fewest.load(Ordering::SeqCst) >= 2, "more than one worker was away at a time");
    let orders: Vec<usize> =
        site.engines.iter().map(|engine| engine.handler.orders().done.len()).collect();
    assert_eq!(orders, [1, 1, 1]);
    let members = site.entries[0].members();
    until(|| members.all().iter().all(|member| member.is_candidate())).await;
}
