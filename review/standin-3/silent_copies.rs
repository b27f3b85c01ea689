//! A look-up that crashes its workers arrives at all entries at the same moment, and the workers that
//! it crashes go dark.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::desk::{config, send, sleep_until, worker_kind, Clients, BOUNDS, ZONES};
use crate::process::{wait_ready, Entry};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, FATAL};
use crate::Verdict;

/// Requests of clients in a second, and the number of clients.
const RATE: u64 = 8;
const CLIENTS: u64 = 10;
const ENTRIES: usize = 5;
const CONTACT: Duration = Duration::from_millis(BOUNDS.contact_ms);
/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;
/// Number of times that the look-up comes, and the seconds between.
const ROUNDS: usize = 6;
const ROUND_INTERVAL: f64 = 7.0;
const FIRST_ROUND: f64 = 3.1;
/// Seconds for which the case runs.
const LENGTH: f64 = FIRST_ROUND + ROUND_INTERVAL * ROUNDS as f64;

pub fn play(record: &Record, dir: &Path, is_troubled: bool) -> Verdict {
    let store = Store::start();
    let door = store.open();
    store.put("op", "config", &config());
    // One rank of the group in each zone is enough to tell whether its zone lives.
    let _ranks: Vec<Worker> = ZONES
        .iter()
        .map(|zone| Worker::start(worker_kind("pool", zone, 1, false), &store, record))
        .collect();
    let until = Duration::from_secs_f64(LENGTH + 4.0);
    let keepers = crate::keeper::keep_all(&ZONES, is_troubled, until, &store, record);
    let start = |at: usize| {
        let zone = ZONES[at % ZONES.len()];
        Entry::start(&format!("edge-{zone}-{at}"), zone, door.addr, BOUNDS, dir)
    };
    let entries: Vec<Entry> = (0..ENTRIES).map(start).collect();
    if !wait_ready(&entries) {
        return Verdict::NotRun("the entries did not become ready".to_owned());
    }
    record.say("the entries are ready");
    let begin = Instant::now() + Duration::from_millis(200);
    let end = begin + Duration::from_secs_f64(LENGTH);
    let frontends: Vec<SocketAddr> = entries.iter().map(|entry| entry.frontend).collect();
    let clients = Clients::start(CLIENTS, RATE, &frontends, (begin, end), record);
    for round in 0..ROUNDS {
        sleep_until(begin, FIRST_ROUND + ROUND_INTERVAL * round as f64);
        let senders: Vec<_> = (0..ENTRIES)
            .map(|copy| {
                let (addr, record) = (frontends[copy], record.clone());
                let id = format!("fa7a1{round:05x}{copy:06x}");
                thread::spawn(move || send(addr, &format!("GET /balance{FATAL}"), &id, "", &record))
            })
            .collect();
        let statuses: Vec<u16> =
            senders.into_iter().map(|sender| sender.join().expect("a client")).collect();
        record.say(&format!("round {}: the look-up is answered {statuses:?}", round + 1));
    }
    let tally = clients.join();
    record.say(&format!(
        "clients: {} requests served, {} orders without an answer of their own, {} others not served",
        tally.served, tally.lost_orders, tally.others
    ));
    let boots: Vec<Worker> =
        keepers.into_iter().flat_map(|keeper| keeper.join().expect("a keeper")).collect();
    let mut reached: Vec<Duration> = Vec::new();
    let mut crashes: Vec<Duration> = Vec::new();
    for worker in &boots {
        let state = worker.lock();
        reached.extend(state.arrivals.iter().filter(|it| it.is_fatal).map(|it| it.at));
        crashes.extend(state.crashes.iter().copied());
    }
    crashes.sort();
    if tally.served < 100 || crashes.len() < 3 {
        return Verdict::NotRun(
            "too few requests were served, or too few workers crashed".to_owned(),
        );
    }
    let late = reached.iter().filter(|at| **at > crashes[2] + CONTACT).count();
    record.say(&format!(
        "the look-up reached workers {} times and crashed {}; {late} times it reached one later than contact_ms after its third crash; {ALLOWED} may be",
        reached.len(),
        crashes.len()
    ));
    if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
