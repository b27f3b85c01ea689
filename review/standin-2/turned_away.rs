//! The store turns one entry away, and a worker becomes cold meanwhile. That entry sends it requests
//! at the full rate, beside those of the others.

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
    let workers: Vec<Worker> =
        ZONES.iter().map(|zone| Worker::start(worker_kind(zone, 1), &store, record)).collect();
    let other = store.open();
    let start = |(at, zone): (usize, &&str)| {
        let addr = if at == 2 { other.addr } else { door.addr };
        Entry::start(&format!("edge-{zone}-1"), zone, addr, BOUNDS, dir)
    };
    let entries: Vec<Entry> = ZONES.iter().enumerate().map(start).collect();
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
        record.line("the store turns edge-c-1 away with 503, and serves the others");
        store.shut(&other, true);
        sleep_until(begin, 7.2);
        worker.chill();
        cold = Some((record.now(), record.now() + COLD_START));
        worker.register();
        sleep_until(begin, 12.0);
        record.line("the store serves edge-c-1 again");
        store.shut(&other, false);
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
