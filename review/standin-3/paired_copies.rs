//! Orders that crash their workers arrive, each twice, at all entries at the same moment. Some zones have
//! two workers of the service, and these crash together.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::desk::{config, send, sleep_until, worker_kind, Clients, ZONES};
use crate::process::{wait_ready, Bounds, Entry};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, WorkerKind, FATAL};
use crate::Verdict;

/// Requests of clients in a second, and the number of clients.
const RATE: u64 = 11;
const CLIENTS: u64 = 11;
const ENTRIES: usize = 11;
/// Zones of the workers of the plain service.
const WORKERS: [&str; 5] = ["osu", "tema", "madina", "osu", "tema"];
/// Bounds of akwaaba-kites-grown.
const BOUNDS: Bounds =
    Bounds { drain_ms: 3_000, contact_ms: 4_000, retry_slack: 112, evacuate_ms: None };
const CONTACT: Duration = Duration::from_millis(BOUNDS.contact_ms);
/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;
/// Time for which an order runs before its worker crashes: that of any request.
const FATAL_WORK: Duration = Duration::from_millis(60);
/// Time between two copies that don't come at the same moment.
const APART: Duration = Duration::from_millis(300);
/// Time after which a crashed worker is back.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after which the row of a worker that sends nothing is removed: three heartbeats of 1.2 s.
const ROW_TIME: Duration = Duration::from_millis(3_600);
/// Number of orders that crash their workers, how often each comes, and the seconds between.
const ORDERS: usize = 4;
const ROUNDS: usize = 2;
const ROUND_INTERVAL: f64 = 9.0;
const FIRST_ROUND: f64 = 3.08;
/// Seconds for which the case runs.
const LENGTH: f64 = FIRST_ROUND + ROUND_INTERVAL * (ORDERS * ROUNDS) as f64;

fn kind(place: usize, boot: usize) -> WorkerKind {
    let id = format!("i-{place:02}-{boot}");
    let kind = worker_kind("ledger", WORKERS[place], boot, false);
    WorkerKind { id, fatal_work: FATAL_WORK, ..kind }
}

/// Keeps a worker: it is back under a new id and at a new address after each crash. Returns all its boots.
fn keep_up(place: usize, until: Duration, store: &Store, record: &Record) -> Vec<Worker> {
    let mut boots = vec![Worker::start(kind(place, 1), store, record)];
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
            boots.push(Worker::start(kind(place, boots.len() + 1), store, record));
            is_listed = true;
        }
    }
    boots
}

/// Beginning of the ids of the copies of an order.
fn prefix(order: usize) -> String {
    format!("fa7a{order:x}")
}

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
    let keepers: Vec<_> = (0..WORKERS.len())
        .map(|place| {
            let (store, record) = (store.clone(), record.clone());
            thread::spawn(move || keep_up(place, until, &store, &record))
        })
        .collect();
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
    let mut begun: Vec<Duration> = Vec::new();
    for number in 0..ORDERS * ROUNDS {
        sleep_until(begin, FIRST_ROUND + ROUND_INTERVAL * number as f64);
        let (order, round) = (number / ROUNDS, number % ROUNDS);
        if round == 0 {
            begun.push(record.now());
        }
        let senders: Vec<_> = (0..ENTRIES)
            .map(|copy| {
                let (addr, record) = (frontends[copy], record.clone());
                let id = format!("{}{round:05x}{copy:06x}", prefix(order));
                let wait = if is_troubled { Duration::ZERO } else { APART * copy as u32 };
                thread::spawn(move || {
                    thread::sleep(wait);
                    send(addr, &format!("POST /dues/{order}{FATAL}"), &id, "{\"dues\":7}", &record)
                })
            })
            .collect();
        let statuses: Vec<u16> =
            senders.into_iter().map(|sender| sender.join().expect("a client")).collect();
        record.say(&format!("order {}, time {}: answered {statuses:?}", order + 1, round + 1));
    }
    let tally = clients.join();
    record.say(&format!(
        "clients: {} requests served, {} orders without an answer of their own, {} others not served",
        tally.served, tally.lost_orders, tally.others
    ));
    let boots: Vec<Worker> =
        keepers.into_iter().flat_map(|keeper| keeper.join().expect("a keeper")).collect();
    if tally.served < 100 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    let mut is_broken = false;
    for (order, from) in begun.iter().enumerate() {
        let until = begun.get(order + 1).copied().unwrap_or(Duration::MAX);
        let mut reached: Vec<Duration> = Vec::new();
        let mut crashes: Vec<Duration> = Vec::new();
        for worker in &boots {
            let state = worker.lock();
            let own = state.arrivals.iter().filter(|it| it.id.starts_with(&prefix(order)));
            reached.extend(own.map(|it| it.at));
            crashes.extend(state.crashes.iter().filter(|at| *at >= from && **at < until));
        }
        crashes.sort();
        let Some(third) = crashes.get(2) else { continue };
        let late = reached.iter().filter(|at| **at > *third + CONTACT).count();
        record.say(&format!(
            "order {} reached workers {} times and crashed {}; {late} times it reached one later than contact_ms after its third crash; {ALLOWED} may be",
            order + 1,
            reached.len(),
            crashes.len()
        ));
        is_broken |= late > ALLOWED;
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
