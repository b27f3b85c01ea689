//! The claims desk: a plain service with a safe and an unsafe route, its clients and the check of
//! the bound on cold workers (RULES.md, FAILBACK).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::process::Bounds;
use crate::record::Record;
use crate::worker::{Worker, WorkerKind};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
pub const COLD_PER_S: f64 = 32.0;
pub const COLD_OVERAGE: f64 = 1.5;
pub const COLD_SLACK: f64 = 5.0;
pub const COLD_START: Duration = Duration::from_secs(3);
pub const BOUNDS: Bounds =
    Bounds { drain_ms: 3_000, contact_ms: 4_000, retry_slack: 120, evacuate_ms: Some(5_000) };
/// Bounds of akwaaba-kites.
pub const KITES_BOUNDS: Bounds =
    Bounds { drain_ms: 2_000, contact_ms: 3_000, retry_slack: 94, evacuate_ms: None };
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The operator's config, with cold starts.
pub fn config() -> String {
    let cold_s = COLD_START.as_secs();
    config_with(&format!(r#","cold_start_s":{cold_s},"cold_per_s":{COLD_PER_S}"#))
}

/// The operator's config for a service whose workers are never cold.
pub fn config_without_cold() -> String {
    config_with("")
}

fn config_with(cold: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"desk.example","prefix":"{prefix}","kind":"{kind}","timeout_ms":1200,"target_latency_ms":120,"priority":2,"service":"claims","max_attempts":2,"anonymous":false}}"#
        )
    };
    let (status, release) = (route("r-1", "/status/", "safe"), route("r-2", "/release/", "unsafe"));
    format!(
        r#"{{"version":3,"route_table":[{status},{release}],"backends":[{{"name":"claims","health_path":"/healthz","max_connections":210{cold}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":20000}},"tenants":[{{"name":"desk","api_keys":["{KEY}"]}}]}}"#
    )
}

/// A worker of the desk in a zone.
pub fn worker_kind(zone: &str, number: usize) -> WorkerKind {
    WorkerKind {
        id: format!("i-{zone}00{number}"),
        service: "claims".to_owned(),
        zone: zone.to_owned(),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(15),
        cold_time: COLD_START,
        cold_crash: 2 * COLD_PER_S as usize,
    }
}

/// What became of the requests of clients.
#[derive(Default)]
pub struct Tally {
    /// When requests were sent, by id.
    pub sent: HashMap<String, Duration>,
    pub served: usize,
    pub lost_orders: usize,
    pub others: usize,
}

/// The clients, who send from `begin` to `end`.
pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    tally: Arc<Mutex<Tally>>,
}

impl Clients {
    /// Starts clients that send so many requests a second in all, to all entries alike.
    pub fn start(
        count: u64,
        rate: u64,
        entries: &[SocketAddr],
        (begin, end): (Instant, Instant),
        record: &Record,
    ) -> Self {
        let tally = Arc::new(Mutex::new(Tally::default()));
        let interval = Duration::from_micros(1_000_000 * count / rate);
        let start = |client: u64| {
            let addr = entries[client as usize % entries.len()];
            let (record, tally) = (record.clone(), Arc::clone(&tally));
            let first = begin + interval.mul_f64(client as f64 / count as f64);
            thread::spawn(move || send_all(client, addr, (first, end, interval), &record, &tally))
        };
        Self { threads: (0..count).map(start).collect(), tally }
    }

    /// Waits until all have ended.
    pub fn join(self) -> Tally {
        self.threads.into_iter().for_each(|client| client.join().expect("a client"));
        std::mem::take(&mut *self.tally.lock().expect("the tally"))
    }
}

/// Sends the requests of one client, one after the other, each on a new channel.
fn send_all(
    client: u64,
    addr: SocketAddr,
    (first, end, interval): (Instant, Instant, Duration),
    record: &Record,
    tally: &Mutex<Tally>,
) {
    let (mut next, mut number) = (first, 0);
    while next < end {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next = (next + interval).max(Instant::now());
        number += 1;
        let is_order = number % 3 != 0;
        let id = format!("{:08x}{number:08x}", client + 1);
        let (line, body) =
            if is_order { ("POST /release/7f", "{\"item\":7}") } else { ("GET /status/7f", "") };
        let text = format!(
            "{line} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {KEY}\r\nx-ebonyusher-attempt-id: {id}\r\nx-ebonyusher-deadline-ms: 1200\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        record.line(&format!("{id} sent: {line}"));
        tally.lock().expect("the tally").sent.insert(id.clone(), record.now());
        let answer = call(addr, &text, body.as_bytes(), Duration::from_millis(1_200));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.line(&format!("{id} answered: {status}"));
        let mut tally = tally.lock().expect("the tally");
        match status {
            200 => tally.served += 1,
            0 | 502 | 504 if is_order => tally.lost_orders += 1,
            _ => tally.others += 1,
        }
    }
}

/// Returns whether a worker got more requests in some second of its cold time than it may.
pub fn exceeds_bound(worker: &Worker, (from, to): (Duration, Duration), record: &Record) -> bool {
    let state = worker.lock();
    let times: Vec<Duration> =
        state.arrivals.iter().map(|it| it.at).filter(|at| *at >= from && *at < to).collect();
    let in_span = |from: &Duration| {
        times.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
    };
    let most = times.iter().map(in_span).max().unwrap_or_default();
    let bound = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    let crashes = state.crashes.iter().filter(|at| **at >= from).count();
    record.say(&format!(
        "the cold worker {} got {most} requests in one second; the bound is {bound}; it then crashed {crashes} times",
        worker.kind.id
    ));
    most as f64 > bound
}

/// Sleeps until so many seconds after `begin`.
pub fn sleep_until(begin: Instant, seconds: f64) {
    let at = begin + Duration::from_secs_f64(seconds);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
