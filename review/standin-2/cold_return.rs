//! A zone's worker crashes and comes back cold under its own id while the store is down. Entries
//! have seen that it did not listen, and send it requests at the full rate.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::desk::{
    config, exceeds_bound, sleep_until, worker_kind, Clients, BOUNDS, COLD_START, ZONES,
};
use crate::process::{wait_ready, Entry};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::Verdict;

/// Requests of clients in a second.
const RATE: u64 = 360;
const CLIENTS: u64 = 60;

pub fn play(record: &Record, dir: &Path, is_troubled: bool) -> Verdict {
    let store = Store::start();
    let door = store.open();
    store.put("op", "config", &config());
    let workers: Vec<Worker> =
        ZONES.iter().map(|zone| Worker::start(worker_kind(zone, 1), &store, record)).collect();
    let start = |zone: &&str| Entry::start(&format!("edge-{zone}-1"), zone, door.addr, BOUNDS, dir);
    let entries: Vec<Entry> = ZONES.iter().map(start).collect();
    if !wait_ready(&entries) {
        return Verdict::NotRun("the entries did not become ready".to_owned());
    }
    record.say("the entries are ready");
    let begin = Instant::now() + Duration::from_millis(500);
    let end = begin + Duration::from_secs(16);
    let frontends: Vec<SocketAddr> = entries.iter().map(|entry| entry.frontend).collect();
    let clients = Clients::start(CLIENTS, RATE, &frontends, (begin, end), record);
    let worker = &workers[2];
    let mut cold = None;
    if is_troubled {
        sleep_until(begin, 7.0);
        worker.crash();
        sleep_until(begin, 8.6);
        record.line("the store is down: it answers each call with 503");
        store.shut(&door, true);
        sleep_until(begin, 9.0);
        worker.boot(true);
        cold = Some((record.now(), record.now() + COLD_START));
        sleep_until(begin, 12.5);
        record.line("the store is back");
        store.shut(&door, false);
        if worker.lock().is_up {
            worker.register();
        } else {
            store.remove("servers", &worker.kind.id);
        }
    }
    let tally = clients.join();
    record.say(&format!(
        "clients: {} requests served, {} orders without an answer of their own, {} others not served",
        tally.served, tally.lost_orders, tally.others
    ));
    if tally.served < 1_000 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    match cold {
        Some(time) if exceeds_bound(worker, time, record) => Verdict::Broken,
        _ => Verdict::Held,
    }
}
