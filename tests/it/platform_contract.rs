//! The contract that every implementation of the platform's interfaces keeps.

use std::sync::Arc;

use bytes::Bytes;
use ebonyusher::platform::{
    HttpPlatform, Instance, InstanceList, ObjectStore, Phase, Table, TableError, Txn,
};
use ebonyusher_standin::{Faults, MemPlatform, PlatformNode, WriteOutcome, loopback};
use rstest::rstest;

/// Returns a platform in memory and an HTTP client of the same platform.
async fn both_platforms() -> (Arc<MemPlatform>, HttpPlatform) {
    let node = PlatformNode::start(loopback(), loopback()).await.unwrap();
    let client = HttpPlatform::new(node.addr());
    (Arc::clone(&node.platform), client)
}

async fn table_contract<T: Table>(table: &T, prefix: &str) {
    let key = |name: &str| format!("{prefix}/{name}");
    let first = Txn::new().check(&key("a"), None).put(&key("a"), &1).put(&key("b"), &2);

    let version = table.commit(&first).await.unwrap();
    let again = table.commit(&first).await;
    let row = table.get(&key("a")).await.unwrap().unwrap();
    let rows = table.scan(prefix).await.unwrap();

    assert_eq!(again, Err(TableError::Conflict));
    assert_eq!((row.version, row.read::<u32>().unwrap()), (version, 1));
    assert_eq!(rows.iter().map(|row| row.key.clone()).collect::<Vec<_>>(), [key("a"), key("b")]);
    let stale = Txn::new().check(&key("a"), Some(version + 9)).put(&key("b"), &9);
    assert_eq!(table.commit(&stale).await, Err(TableError::Conflict));
    let gone = Txn::new().check(&key("a"), Some(version)).delete(&key("a"));
    assert!(table.commit(&gone).await.unwrap() > version);
    assert_eq!(table.get(&key("a")).await.unwrap(), None);
    assert_eq!(table.get(&key("b")).await.unwrap().unwrap().read::<u32>().unwrap(), 2);
}

async fn objects_contract<O: ObjectStore>(objects: &O, name: &str) {
    assert_eq!(objects.read(name).await.unwrap(), None);

    objects.write(name, Bytes::from_static(b"one")).await.unwrap();
    objects.write(name, Bytes::from_static(b"two")).await.unwrap();

    assert_eq!(objects.read(name).await.unwrap(), Some(Bytes::from_static(b"two")));
}

async fn list_contract<L: InstanceList>(list: &L, platform: &MemPlatform) {
    let inst = Instance {
        name: "chat-0".to_owned(),
        service: "akwaaba/chat".to_owned(),
        domain: "osu".to_owned(),
        data: loopback(),
        peer: loopback(),
        phase: Phase::Live,
    };
    platform.add_instance(inst.clone());

    let live = list.list().await.unwrap();
    platform.mark_leaving("chat-0");
    let leaving = list.list().await.unwrap();
    platform.remove_instance("chat-0");

    assert_eq!(live, [inst]);
    assert_eq!(leaving[0].phase, Phase::Leaving);
    assert_eq!(list.list().await.unwrap(), []);
}

#[tokio::test]
async fn every_table_keeps_the_contract() {
    let (mem, http) = both_platforms().await;

    table_contract(mem.as_ref(), "mem").await;
    table_contract(&http, "http").await;
}

#[tokio::test]
async fn every_object_store_keeps_the_contract() {
    let (mem, http) = both_platforms().await;

    objects_contract(mem.as_ref(), "mem").await;
    objects_contract(&http, "http").await;
}

#[tokio::test]
async fn every_list_keeps_the_contract() {
    let (mem, http) = both_platforms().await;

    list_contract(mem.as_ref(), &mem).await;
    list_contract(&http, &mem).await;
}

#[rstest]
#[case::refused(WriteOutcome::Refused, "unavailable", false)]
#[case::lost(WriteOutcome::Lost, "unknown", false)]
#[case::answer_lost(WriteOutcome::AnswerLost, "unknown", true)]
#[tokio::test]
async fn a_failed_write_is_reported_as_unknown_unless_refused(
    #[case] write_outcome: WriteOutcome,
    #[case] expected: &str,
    #[case] applied: bool,
) {
    let (mem, http) = both_platforms().await;
    mem.script_writes([write_outcome]);

    let ended = http.commit(&Txn::new().put("row", &1)).await;

    let reported = match ended {
        Err(TableError::Unavailable(_)) => "unavailable",
        Err(TableError::Unknown(_)) => "unknown",
        other => panic!("{other:?}"),
    };
    assert_eq!(reported, expected);
    assert_eq!(http.get("row").await.unwrap().is_some(), applied);
}

#[tokio::test]
async fn a_table_that_is_down_is_unavailable() {
    let (mem, http) = both_platforms().await;
    mem.set_faults(Faults { down: true, ..Faults::default() });

    let read = http.get("row").await;
    let written = http.commit(&Txn::new().put("row", &1)).await;

    assert!(matches!(read, Err(TableError::Unavailable(_))));
    assert!(matches!(written, Err(TableError::Unavailable(_))));
}

#[tokio::test]
async fn an_unreachable_platform_is_unavailable() {
    let http = HttpPlatform::new("127.0.0.1:1".parse().unwrap());

    let written = http.commit(&Txn::new().put("row", &1)).await;

    assert!(matches!(written, Err(TableError::Unavailable(_))));
}
