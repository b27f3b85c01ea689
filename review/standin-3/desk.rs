//! The ledger: a plain service with a safe and an unsafe route beside a model group, with the figures of
//! akwaaba-kites, and its clients.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::process::Bounds;
use crate::record::Record;
use crate::worker::WorkerKind;

pub const ZONES: [&str; 3] = ["osu", "tema", "madina"];
/// Bounds of akwaaba-kites.
pub const BOUNDS: Bounds =
    Bounds { drain_ms: 2_000, contact_ms: 3_000, retry_slack: 94, evacuate_ms: None };
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Time limit of clients, in milliseconds.
pub const LIMIT_MS: u64 = 1_500;

/// The operator's config.
pub fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","hostname":"club.example","prefix":"{prefix}","kind":"{kind}","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":{attempts},"anonymous":false}}"#
        )
    };
    let routes =
        [route("r-1", "/balance/", "safe", 2), route("r-2", "/dues/", "unsafe", 1)].join(",");
    format!(
        r#"{{"version":3,"route_table":[{routes}],"backends":[{{"name":"ledger","health_path":"/healthz","max_connections":110}},{{"name":"pool","health_path":"/healthz","max_connections":418}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":20000}},"tenants":[{{"name":"club","api_keys":["{KEY}"]}}]}}"#
    )
}

/// The `number`th boot of a worker of a service in a zone.
pub fn worker_kind(service: &str, zone: &str, number: usize, goes_dark: bool) -> WorkerKind {
    WorkerKind {
        id: format!("i-{service}-{zone}-{number}"),
        service: service.to_owned(),
        zone: zone.to_owned(),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(60),
        cold_time: Duration::ZERO,
        cold_crash: usize::MAX,
        fatal_work: Duration::ZERO,
        goes_dark,
    }
}

/// What became of the requests of clients.
#[derive(Default)]
pub struct Tally {
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

/// Sends a request on a new channel. Returns the status, 0 without an answer.
pub fn send(addr: SocketAddr, line: &str, id: &str, body: &str, record: &Record) -> u16 {
    let text = format!(
        "{line} HTTP/1.1\r\nhost: club.example\r\nauthorization: Bearer {KEY}\r\nx-ebonyusher-attempt-id: {id}\r\nx-ebonyusher-deadline-ms: {LIMIT_MS}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    record.line(&format!("{id} sent: {line}"));
    let answer = call(addr, &text, body.as_bytes(), Duration::from_millis(LIMIT_MS));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("{id} answered: {status}"));
    status
}

/// Sends the requests of one client, one after the other: five of eight are orders, as on the sheet.
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
        let is_order = number % 8 < 5;
        let id = format!("{:08x}{number:08x}", client + 1);
        let status = if is_order {
            send(addr, "POST /dues/7f", &id, "{\"dues\":7}", record)
        } else {
            send(addr, &format!("GET /balance/{client}"), &id, "", record)
        };
        let mut tally = tally.lock().expect("the tally");
        match status {
            200 => tally.served += 1,
            0 | 502 | 504 if is_order => tally.lost_orders += 1,
            _ => tally.others += 1,
        }
    }
}

/// Sleeps until so many seconds after `begin`.
pub fn sleep_until(begin: Instant, seconds: f64) {
    let at = begin + Duration::from_secs_f64(seconds);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
