//! The channel on which one entry follows the list of workers goes silent, and no other. A worker
//! that leaves then gets requests from it for longer than it may.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::desk::{config_without_cold, sleep_until, worker_kind, Clients, KITES_BOUNDS, ZONES};
use crate::process::{wait_ready, Entry};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::Verdict;

/// Requests of clients in a second.
const RATE: u64 = 90;
const CLIENTS: u64 = 30;
const DRAIN: Duration = Duration::from_millis(KITES_BOUNDS.drain_ms);
const CONTACT: Duration = Duration::from_millis(KITES_BOUNDS.contact_ms);

pub fn play(record: &Record, dir: &Path, is_troubled: bool) -> Verdict {
    let store = Store::start();
    let (door, other) = (store.open(), store.open());
    store.put("op", "config", &config_without_cold());
    let kind = |zone: &str, number| {
        let work = Duration::from_millis(60);
        crate::worker::WorkerKind { work, ..worker_kind(zone, number) }
    };
    let workers: Vec<Worker> =
        ZONES.iter().map(|zone| Worker::start(kind(zone, 1), &store, record)).collect();
    let start = |zone: &&str| {
        let addr = if *zone == "c" { other.addr } else { door.addr };
        Entry::start(&format!("edge-{zone}-1"), zone, addr, KITES_BOUNDS, dir)
    };
    let entries: Vec<Entry> = ZONES.iter().map(start).collect();
    if !wait_ready(&entries) {
        return Verdict::NotRun("the entries did not become ready".to_owned());
    }
    record.say("the entries are ready");
    let begin = Instant::now() + Duration::from_millis(500);
    let end = begin + Duration::from_secs(14);
    let frontends: Vec<SocketAddr> = entries.iter().map(|entry| entry.frontend).collect();
    let clients = Clients::start(CLIENTS, RATE, &frontends, (begin, end), record);
    sleep_until(begin, 5.0);
    record.line("a release: the new worker starts first");
    let _new = Worker::start(kind("c", 2), &store, record);
    sleep_until(begin, 5.8);
    let silent_at = record.now();
    if is_troubled {
        let channels = store.silence(&other, "servers");
        record
            .say(&format!("{channels} of the open channels of edge-c-1 to the store goes silent"));
        if channels != 1 {
            return Verdict::NotRun("the entry was not following the list".to_owned());
        }
    }
    sleep_until(begin, 6.1);
    let old = &workers[2];
    let acked = old.drain();
    record.line("the store has accepted that i-c001 drains");
    sleep_until(begin, 9.4);
    old.exit();
    store.remove("servers", &old.kind.id);
    let tally = clients.join();
    record.say(&format!(
        "clients: {} requests served, {} orders without an answer of their own, {} others not served",
        tally.served, tally.lost_orders, tally.others
    ));
    if tally.served < 300 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    let in_touch = silent_at + CONTACT;
    let state = old.lock();
    let late = state.arrivals.iter().filter(|arrival| {
        let sent = tally.sent.get(&arrival.id).copied().unwrap_or_default();
        arrival.at > acked + DRAIN && sent > in_touch
    });
    let late: Vec<f64> = late.map(|it| (it.at - acked).as_secs_f64()).collect();
    record.say(&format!(
        "{} requests that were sent later than contact_ms after the silence reached the leaving worker later than drain_ms after the ack, the last one {:.2} s after it",
        late.len(),
        late.last().copied().unwrap_or_default()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
