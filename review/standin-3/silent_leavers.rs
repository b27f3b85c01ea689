//! An order that crashes its worker comes again and again, one attempt after the other. The workers that
//! it crashes go dark, and its caller leaves each time before it has an answer.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::desk::{config, sleep_until, Clients, BOUNDS, KEY, LIMIT_MS, ZONES};
use crate::http::call;
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
/// Time after which the caller leaves.
const LEAVES: Duration = Duration::from_millis(300);
/// Number of times that the order comes, and the seconds between.
const ROUNDS: usize = 14;
const ROUND_INTERVAL: f64 = 3.0;
const FIRST_ROUND: f64 = 3.0;
/// Seconds for which the case runs.
const LENGTH: f64 = FIRST_ROUND + ROUND_INTERVAL * ROUNDS as f64;

pub fn play(record: &Record, dir: &Path, is_troubled: bool) -> Verdict {
    let store = Store::start();
    let door = store.open();
    store.put("op", "config", &config());
    let until = Duration::from_secs_f64(LENGTH + 4.0);
    let keepers = crate::keeper::keep_all(&ZONES, true, until, &store, record);
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
    let wait = if is_troubled { LEAVES } else { Duration::from_millis(LIMIT_MS) };
    let mut refused = 0;
    for round in 0..ROUNDS {
        sleep_until(begin, FIRST_ROUND + ROUND_INTERVAL * round as f64);
        let id = format!("fa7a1{round:011x}");
        let text = format!(
            "POST /dues{FATAL} HTTP/1.1\r\nhost: club.example\r\nauthorization: Bearer {KEY}\r\nx-ebonyusher-attempt-id: {id}\r\nx-ebonyusher-deadline-ms: {LIMIT_MS}\r\ncontent-length: 2\r\nconnection: close\r\n\r\n"
        );
        record.line(&format!("{id} sent: POST /dues{FATAL}"));
        // The connection is closed when the wait is over.
        let answer = call(frontends[round % frontends.len()], &text, b"{}", wait);
        let status = answer.map_or(0, |answer| answer.status());
        refused += usize::from(status == 503);
        let text = if status == 0 {
            "its caller leaves".to_owned()
        } else {
            format!("answered: {status}")
        };
        record.line(&format!("{id} {text}"));
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
    if tally.served < 80 || crashes.len() < 3 {
        return Verdict::NotRun(
            "too few requests were served, or too few workers crashed".to_owned(),
        );
    }
    let late = reached.iter().filter(|at| **at > crashes[2] + CONTACT).count();
    record.say(&format!(
        "the order came {ROUNDS} times, was refused {refused} times, reached workers {} times and crashed {}; {late} times it reached one later than contact_ms after its third crash; {ALLOWED} may be",
        reached.len(),
        crashes.len()
    ));
    if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
