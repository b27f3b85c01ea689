//! Keeps the workers of the plain service: one in each zone, which is back after each crash.

use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::desk::worker_kind;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// Time after which a crashed worker is back.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after which the row of a worker that sends nothing is removed: three heartbeats of 1.2 s.
const ROW_TIME: Duration = Duration::from_millis(3_600);

/// Starts a worker in each zone and keeps it. Each thread returns all boots of one.
pub fn keep_all(
    zones: &[&'static str],
    goes_dark: bool,
    until: Duration,
    store: &Store,
    record: &Record,
) -> Vec<JoinHandle<Vec<Worker>>> {
    let keep = |zone: &&'static str| {
        let first = Worker::start(worker_kind("ledger", zone, 1, goes_dark), store, record);
        let (zone, store, record) = (*zone, store.clone(), record.clone());
        thread::spawn(move || keep_up(first, zone, until, &store, &record))
    };
    zones.iter().map(keep).collect()
}

/// Keeps a worker: it is back under a new id and at a new address after each crash. Returns all its boots.
fn keep_up(
    first: Worker,
    zone: &str,
    until: Duration,
    store: &Store,
    record: &Record,
) -> Vec<Worker> {
    let mut boots = vec![first];
    let mut is_listed = true;
    while record.now() < until {
        thread::sleep(Duration::from_millis(20));
        let Some(last) = boots.last() else { break };
        let Some(ended) = last.lock().crashes.last().copied() else { continue };
        if is_listed && record.now() >= ended + ROW_TIME {
            store.remove("servers", &last.kind.id);
            record.line(&format!("the row of {} is removed", last.kind.id));
            is_listed = false;
        }
        if record.now() >= ended + DOWN {
            let kind = worker_kind("ledger", zone, boots.len() + 1, last.kind.goes_dark);
            boots.push(Worker::start(kind, store, record));
            is_listed = true;
        }
    }
    boots
}
