//! The order of settings revisions: concurrent changes, lost answers of the store, and deltas.

use std::sync::Arc;
use std::time::Duration;

use ebonyusher::metrics::Meter;
use ebonyusher::peer::{
    Delta, RpcListener, SettingsFollower, SettingsRpcServer, SettingsServer, Versions,
};
use ebonyusher::settings::{
    Machine, RevisionRecord, SettingsPublisher, SettingsStore, Snapshot, StoreError, Team,
};
use ebonyusher_standin::{Faults, MemPlatform, WriteOutcome, loopback};
use proptest::prelude::*;

use crate::test_cluster::{account, team, wait_until};

fn record(team: &str, change: u64) -> RevisionRecord {
    RevisionRecord {
        revision: 0,
        team: team.to_owned(),
        version: 0,
        operator: "operator".to_owned(),
        change: change.to_string(),
    }
}

fn changed(at: u64) -> Team {
    let mut settings = team();
    settings.accounts.insert(format!("account-{at}"), account(&format!("key-{at}")));
    settings
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
}

#[tokio::test(start_paused = true)]
async fn a_commit_whose_answer_is_lost_is_read_back() {
    let platform = Arc::new(MemPlatform::new());
    let store = SettingsStore::new(Arc::clone(&platform));
    platform.script_writes([WriteOutcome::AnswerLost]);

    let applied = store.replace(&record("a", 1), &team(), 0).await.unwrap();

    assert_eq!((applied.revision, applied.version), (1, 1));
    assert_eq!(store.revisions("a").await.unwrap().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_commit_without_any_answer_is_reported_as_unknown() {
    let platform = Arc::new(MemPlatform::new());
    let store = SettingsStore::new(Arc::clone(&platform));
    platform.script_writes(vec![WriteOutcome::Lost; 1_000]);

    let result = store.replace(&record("a", 1), &team(), 0).await;

    assert_eq!(result, Err(StoreError::Unknown { change: "1".to_owned() }));
}

fn write_outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        4 => Just(WriteOutcome::Answered),
        2 => Just(WriteOutcome::AnswerLost),
        1 => Just(WriteOutcome::Lost),
        1 => Just(WriteOutcome::Refused),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn concurrent_changes_each_make_one_revision_or_none(
        write_outcomes in prop::collection::vec(write_outcome(), 0..30),
        teams in prop::collection::vec(0_u8..3, 1..12),
    ) {
        runtime().block_on(async {
            let platform = Arc::new(MemPlatform::new());
            platform.script_writes(write_outcomes);
            let mut tasks = tokio::task::JoinSet::new();
            for (at, name) in teams.iter().enumerate() {
                let store = SettingsStore::new(Arc::clone(&platform));
                let record = record(&format!("team-{name}"), at as u64);
                tasks.spawn(async move {
                    let version = store.team(&record.team).await.unwrap().version;
                    (
                        record.team.clone(),
                        store.replace(&record, &changed(at as u64), version).await,
                    )
                });
            }
            let results = tasks.join_all().await;
            let store = SettingsStore::new(Arc::clone(&platform));
            let head = store.head().await.unwrap();
            let accepted = results.iter().filter(|(_, result)| result.is_ok()).count() as u64;
            let versions: u64 = head.teams.values().sum();
            assert_eq!(head.revision, versions);
            assert!(accepted <= head.revision);
            let mut revisions: Vec<u64> = Vec::new();
            for team in head.teams.keys() {
                let log = store.revisions(team).await.unwrap();
                assert_eq!(log.len() as u64, head.teams[team]);
                revisions.extend(log.iter().map(|record| record.revision));
            }
            revisions.sort_unstable();
            assert_eq!(revisions, (1..=head.revision).collect::<Vec<_>>());
        });
    }

    #[test]
    fn the_settings_in_force_never_revert(offers in prop::collection::vec(0_u64..20, 1..40)) {
        let publisher = SettingsPublisher::new();
        let current = publisher.current();
        let mut greatest = 0;
        for revision in offers {
            publisher.offer(Snapshot::new(revision, Default::default()));
            greatest = greatest.max(revision);
            prop_assert_eq!(current.get().revision, greatest);
        }
    }

    #[test]
    fn a_delta_gives_the_whole_newer_tree(changes in prop::collection::vec(0_u8..3, 1..12)) {
        runtime().block_on(async {
            let platform = Arc::new(MemPlatform::new());
            let store = SettingsStore::new(platform);
            let mut follower = Snapshot::default();
            let mut newest = Snapshot::default();
            for (at, name) in changes.iter().enumerate() {
                let team = format!("team-{name}");
                let version = store.team(&team).await.unwrap().version;
                store
                    .replace(&record(&team, at as u64), &changed(at as u64), version)
                    .await
                    .unwrap();
                newest = store.newer(&newest).await.unwrap().unwrap();
                if at % 2 == 0 {
                    let delta = Delta::between(&newest, &Versions::of(&follower)).unwrap();
                    follower = delta.apply(&follower).unwrap();
                    assert_eq!(follower, newest);
                }
            }
        });
    }
}

#[tokio::test]
async fn a_fresh_process_gets_the_greatest_revision_from_peers_while_the_store_is_down() {
    let platform = Arc::new(MemPlatform::new());
    platform.set_faults(Faults { down: true, ..Faults::default() });
    let mut seeds = Vec::new();
    let mut peers = Vec::new();
    for revision in [4, 9, 6] {
        let publisher = SettingsPublisher::new();
        publisher.offer(Snapshot::new(revision, Default::default()));
        let server = SettingsServer::new(publisher.current(), "key".to_owned());
        let peer = RpcListener::open(loopback(), server.into_rpc(), &Machine::NODE).await.unwrap();
        seeds.push(peer.addr());
        peers.push((peer, publisher));
    }
    let publisher = SettingsPublisher::new();
    let current = publisher.current();
    let meter = Arc::new(Meter::local());
    let poll = Duration::from_millis(50);

    let (_hints, follower) =
        SettingsFollower::new(platform, publisher, seeds, "key".to_owned(), poll, meter);
    tokio::spawn(follower.run());

    wait_until(|| current.get().revision == 9).await;
}
