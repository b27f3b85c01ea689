//! The channels on which entries follow their own shared rows go silent, and no others. A request
//! that crashes its workers then goes on to reach workers after its third crash.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::desk::{
    config_without_cold, sleep_until, worker_kind, Clients, KEY, KITES_BOUNDS, ZONES,
};
use crate::http::call;
use crate::process::{wait_ready, Entry};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, WorkerKind, FATAL};
use crate::Verdict;

/// Requests of clients in a second.
const RATE: u64 = 60;
const CLIENTS: u64 = 30;
const ENTRIES: usize = 5;
const CONTACT: Duration = Duration::from_millis(KITES_BOUNDS.contact_ms);
/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;
/// Time after which a crashed worker is back.
const DOWN: Duration = Duration::from_millis(1_500);

/// A worker of a zone, which is back under a new id after each crash.
fn keep_up(zone: &'static str, first: Worker, store: Store, record: Record) -> Vec<Worker> {
    let mut boots = vec![first];
    let until = record.now() + Duration::from_secs(25);
    while record.now() < until {
        thread::sleep(Duration::from_millis(20));
        let Some(last) = boots.last() else { break };
        let ended = last.lock().crashes.last().copied();
        if ended.is_some_and(|at| record.now() >= at + DOWN) {
            let kind = kind(zone, boots.len() + 1);
            let (addr, old) = (last.addr, last.kind.id.clone());
            let next = Worker::start_at(addr, kind, &store, &record);
            boots.push(next);
            let (store, record) = (store.clone(), record.clone());
            // Three heartbeats after the crash.
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(3_600) - DOWN);
                store.remove("servers", &old);
                record.line(&format!("the row of {old} is removed"));
            });
        }
    }
    boots
}

fn kind(zone: &str, number: usize) -> WorkerKind {
    WorkerKind { work: Duration::from_millis(60), ..worker_kind(zone, number) }
}

pub fn play(record: &Record, dir: &Path, is_troubled: bool) -> Verdict {
    let store = Store::start();
    let door = store.open();
    store.put("op", "config", &config_without_cold());
    let keepers: Vec<_> = ZONES
        .into_iter()
        .map(|zone| {
            let first = Worker::start(kind(zone, 1), &store, record);
            let (store, record) = (store.clone(), record.clone());
            thread::spawn(move || keep_up(zone, first, store, record))
        })
        .collect();
    let start = |at: usize| {
        let zone = ZONES[at % ZONES.len()];
        Entry::start(&format!("edge-{zone}-{at}"), zone, door.addr, KITES_BOUNDS, dir)
    };
    let entries: Vec<Entry> = (0..ENTRIES).map(start).collect();
    if !wait_ready(&entries) {
        return Verdict::NotRun("the entries did not become ready".to_owned());
    }
    record.say("the entries are ready");
    let begin = Instant::now() + Duration::from_millis(500);
    let end = begin + Duration::from_secs(23);
    let frontends: Vec<SocketAddr> = entries.iter().map(|entry| entry.frontend).collect();
    let clients = Clients::start(CLIENTS, RATE, &frontends, (begin, end), record);
    let mut silent_at = Duration::ZERO;
    for number in 0..16_usize {
        sleep_until(begin, 3.0 + 1.2 * number as f64);
        let id = format!("fa7a1{number:011x}");
        let text = format!(
            "POST /release{FATAL} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {KEY}\r\nx-ebonyusher-attempt-id: {id}\r\nx-ebonyusher-deadline-ms: 1200\r\ncontent-length: 2\r\nconnection: close\r\n\r\n"
        );
        record.line(&format!("{id} sent: POST /release{FATAL}"));
        let entry = &entries[number % entries.len()];
        let answer = call(entry.frontend, &text, b"{}", Duration::from_millis(1_200));
        record.line(&format!("{id} answered: {}", answer.map_or(0, |answer| answer.status())));
        if is_troubled && number == 0 {
            sleep_until(begin, 3.6);
            silent_at = record.now();
            let channels = store.silence(&door, "ebonyusher");
            record.say(&format!("{channels} of the open channels to the store go silent"));
            if channels != entries.len() {
                return Verdict::NotRun("the entries were not following their rows".to_owned());
            }
        }
    }
    let tally = clients.join();
    record.say(&format!(
        "clients: {} requests served, {} orders without an answer of their own, {} others not served",
        tally.served, tally.lost_orders, tally.others
    ));
    let boots: Vec<Worker> =
        keepers.into_iter().flat_map(|keeper| keeper.join().expect("a keeper")).collect();
    let mut fatal: Vec<Duration> = Vec::new();
    for worker in &boots {
        let state = worker.lock();
        fatal.extend(state.arrivals.iter().filter(|it| it.is_fatal).map(|it| it.at));
    }
    fatal.sort();
    if tally.served < 300 || fatal.len() < 3 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    let from = (fatal[2] + CONTACT).max(silent_at + CONTACT);
    let late = fatal.iter().filter(|at| **at > from).count();
    record.say(&format!(
        "the request reached workers {} times, {late} times later than contact_ms after its third crash and after the silence; {ALLOWED} may be",
        fatal.len()
    ));
    if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
