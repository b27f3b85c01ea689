//! A stream that crashes its rank comes again and again, one attempt after the other, and the ranks that
//! it crashes go dark.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::desk::{sleep_until, BOUNDS, KEY, ZONES};
use crate::http::call;
use crate::process::{wait_ready, Entry};
use crate::rank::{Group, EVENTS, FATAL, SERVICE};
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

const ENTRIES: usize = 5;
const RANKS_PER_ZONE: usize = 4;
/// Clients, each of which begins a stream every two seconds.
const CLIENTS: usize = 30;
const CLIENT_INTERVAL: f64 = 2.0;
const CONTACT: Duration = Duration::from_millis(BOUNDS.contact_ms);
/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;
/// Number of times that the stream comes, and the seconds between.
const ROUNDS: usize = 9;
const ROUND_INTERVAL: f64 = 8.0;
const FIRST_ROUND: f64 = 3.0;
const LENGTH: f64 = FIRST_ROUND + ROUND_INTERVAL * ROUNDS as f64;
/// Time limit of clients, and the time without an event after which they abandon a stream.
const LIMIT_MS: u64 = 8_000;
const PATIENCE: Duration = Duration::from_secs(2);

fn config() -> String {
    let engine = r#"{"slots":12,"kv_tokens":372000,"stride":5,"models":[{"name":"m"}],"step_ms":5.85,"per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":139},"sets":4,"experts":72,"places":8,"spare":3,"expert_mb":780.0,"expert_share":0.85,"form_ms":600.0}"#;
    format!(
        r#"{{"version":3,"route_table":[{{"name":"r-1","hostname":"club.example","prefix":"/notice/","kind":"streaming","timeout_ms":{LIMIT_MS},"target_latency_ms":400,"priority":1,"service":"{SERVICE}","max_attempts":2,"anonymous":false,"session_affinity":true,"resumable":true,"gap_aim_ms":120}}],"backends":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":418,"protocol":"h1","engine":{engine}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":20000}},"tenants":[{{"name":"club","api_keys":["{KEY}"]}}]}}"#
    )
}

/// How a stream ended for its client.
enum End {
    Whole,
    Refused,
    Lost,
}

/// Sends a stream's request, and reads the answer.
fn send(addr: SocketAddr, path: &str, id: &str, part: usize, record: &Record) -> End {
    let body = "{\"draft\":\"notice\"}";
    let text = format!(
        "POST /notice{path} HTTP/1.1\r\nhost: club.example\r\nauthorization: Bearer {KEY}\r\nx-ebonyusher-attempt-id: {id}\r\nx-ebonyusher-model: m\r\nx-ebonyusher-token-usage: 714,139\r\nx-ebonyusher-prompt-prefix: 5c1e{part:04x}:40,{}:674\r\nx-ebonyusher-deadline-ms: {LIMIT_MS}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        &id[..8],
        body.len()
    );
    record.line(&format!("{id} sent: POST /notice{path}"));
    // The limit of one read, which is the client's patience.
    let answer = call(addr, &text, body.as_bytes(), PATIENCE);
    let (status, events) = answer.as_ref().map_or((0, 0), |answer| {
        (answer.status(), String::from_utf8_lossy(&answer.body).matches("id: ").count())
    });
    record.line(&format!("{id} answered: {status}, {events} events"));
    match status {
        200 if events == EVENTS => End::Whole,
        408 | 421 | 429 | 503 => End::Refused,
        _ => End::Lost,
    }
}

/// Sends the streams of one client, one after the other. Counts them by their ends.
fn send_all(
    client: usize,
    addr: SocketAddr,
    begin: Instant,
    record: &Record,
    counts: &Mutex<[usize; 3]>,
) {
    let mut at = CLIENT_INTERVAL * client as f64 / CLIENTS as f64;
    let mut number = 0;
    while at < LENGTH {
        sleep_until(begin, at);
        number += 1;
        let id = format!("{:08x}{number:08x}", client + 1);
        let end = send(addr, "/2f", &id, (client + number) % 60, record);
        let mut counts = counts.lock().expect("the counts");
        match end {
            End::Whole => counts[0] += 1,
            End::Refused => counts[1] += 1,
            End::Lost => counts[2] += 1,
        }
        drop(counts);
        at = (at + CLIENT_INTERVAL).max(begin.elapsed().as_secs_f64());
    }
}

pub fn play(record: &Record, dir: &Path, is_troubled: bool) -> Verdict {
    let store = Store::start();
    let door = store.open();
    store.put("op", "config", &config());
    let group = Group::start(&ZONES, RANKS_PER_ZONE, is_troubled, &store, record);
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
    let frontends: Vec<SocketAddr> = entries.iter().map(|entry| entry.frontend).collect();
    let counts = Arc::new(Mutex::new([0; 3]));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (addr, record) = (frontends[client % frontends.len()], record.clone());
            let counts = Arc::clone(&counts);
            thread::spawn(move || send_all(client, addr, begin, &record, &counts))
        })
        .collect();
    for round in 0..ROUNDS {
        sleep_until(begin, FIRST_ROUND + ROUND_INTERVAL * round as f64);
        let id = format!("fa7a1{round:011x}");
        let end = send(frontends[round % frontends.len()], FATAL, &id, 7, record);
        let end = match end {
            End::Whole => "is answered",
            End::Refused => "is refused",
            End::Lost => "has no answer of its own",
        };
        record.say(&format!("round {}: the stream {end}", round + 1));
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let [whole, refused, lost] = *counts.lock().expect("the counts");
    record.say(&format!(
        "other streams: {whole} whole, {refused} refused, {lost} lost to their clients; ranks cut {} runs",
        group.cut()
    ));
    let (runs, crashes) = group.fatal_runs();
    if whole < 100 || runs.is_empty() {
        return Verdict::NotRun("too few streams were served".to_owned());
    }
    let late =
        crashes.get(2).map_or(0, |third| runs.iter().filter(|at| **at > *third + CONTACT).count());
    record.say(&format!(
        "the stream crashed {} ranks; {late} times it began to run later than contact_ms after its third crash; {ALLOWED} may be",
        crashes.len()
    ));
    if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
