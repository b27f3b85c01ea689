//! The operator takes back the evacuation of a zone whose workers have become cold. Entries learn at
//! once that they may send there, but not yet that the workers are cold.

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
const RATE: u64 = 480;
const CLIENTS: u64 = 80;

pub fn play(record: &Record, dir: &Path, is_troubled: bool) -> Verdict {
    let store = Store::start();
    let door = store.open();
    store.put("op", "config", &config());
    let places = [("a", 1), ("b", 1), ("c", 1), ("c", 2)];
    let workers: Vec<Worker> = places
        .into_iter()
        .map(|(zone, number)| Worker::start(worker_kind(zone, number), &store, record))
        .collect();
    let start = |zone: &&str| Entry::start(&format!("edge-{zone}-1"), zone, door.addr, BOUNDS, dir);
    let entries: Vec<Entry> = ZONES.iter().map(start).collect();
    if !wait_ready(&entries) {
        return Verdict::NotRun("the entries did not become ready".to_owned());
    }
    record.say("the entries are ready");
    let begin = Instant::now() + Duration::from_millis(500);
    let end = begin + Duration::from_secs(18);
    let frontends: Vec<SocketAddr> = entries.iter().map(|entry| entry.frontend).collect();
    let clients = Clients::start(CLIENTS, RATE, &frontends, (begin, end), record);
    let zone = &workers[2..];
    let mut cold = Vec::new();
    if is_troubled {
        sleep_until(begin, 4.0);
        record.line("the operator evacuates zone c");
        store.put("op", "evacuate/c", "{}");
        sleep_until(begin, 12.0);
        for worker in zone {
            worker.chill();
            cold.push((record.now(), record.now() + COLD_START));
            worker.register();
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(100));
        record.line("the operator takes the evacuation back");
        store.remove("op", "evacuate/c");
    }
    let tally = clients.join();
    record.say(&format!(
        "clients: {} requests served, {} orders without an answer of their own, {} others not served",
        tally.served, tally.lost_orders, tally.others
    ));
    if tally.served < 1_000 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    let is_broken: Vec<bool> =
        zone.iter().zip(cold).map(|(worker, time)| exceeds_bound(worker, time, record)).collect();
    if is_broken.contains(&true) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
