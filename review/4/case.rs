//! The platform's store gives one entry no response for some seconds while it serves the others.
//! After that, two workers leave that never report `draining`. Checks the rule DRAIN: no request may
//! reach them later than `drain_ms` after the store removed them, from machines in touch.

#[path = "../standin/common.rs"]
mod common;

use std::sync::{Arc, Mutex};

use common::*;

/// `contact_ms` and `drain_ms` of the site akwaaba-kites.
const CONTACT_S: f64 = 3.0;
const DRAIN_S: f64 = 2.0;
/// Minimum time for which the store gives the entry no response; at most 9 s are allowed.
const AWAY_S: f64 = 6.3;
/// Time from its end to the removal of the workers.
const LEAVE_AFTER_S: f64 = 0.6;
/// The workers serve `drain_ms` and this time longer, then exit.
const LINGER_S: f64 = 1.15;
const REQUESTS_PER_S: f64 = 64.0;
const ZONES: [&str; 3] = ["osu", "tema", "madina"];
/// Number of workers that are replaced at a time.
const RELEASED: usize = 2;

fn main() {
    limit_time(100.0);
    let case = std::env::args().nth(1).expect("the folder of the case");
    let temp = std::env::args().nth(2).expect("a temporary folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&format!("{case}/record.txt"));
    let store = Store::start();
    let proxy = Proxy::start(store.addr);
    store.put("op", "config", LEDGER_CONFIG);
    let start_worker = |at: usize| {
        let id = format!("i-ledger-{}", at + 1);
        Worker::start(&record, &store, &id, ZONES[at % 3], "members-ledger", 6, ledger_ms)
    };
    let mut workers: Vec<Arc<Worker>> = (0..3).map(start_worker).collect();
    // One of three entries is turned away.
    let (mut entry_1, addrs_1) = start_entry(&temp, "edge-osu-1", "osu", proxy.addr);
    let (mut entry_2, addrs_2) = start_entry(&temp, "edge-tema-1", "tema", store.addr);
    let (mut entry_3, addrs_3) = start_entry(&temp, "edge-madina-1", "madina", store.addr);
    wait_ready(&[addrs_1, addrs_2, addrs_3]);
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    // The share of channels per entry is uneven.
    let frontends =
        vec![addrs_1.frontend, addrs_2.frontend, addrs_1.frontend, addrs_3.frontend];
    let load = start_load(&record, &outcomes, frontends, REQUESTS_PER_S, 20.0);
    sleep_s(3.0);
    let away = record.now();
    if has_trouble {
        proxy.go_away();
        record.line("the store gives edge-osu-1 no response");
    }
    sleep_s(AWAY_S);
    // A release: the new workers start first.
    (0..RELEASED).for_each(|at| workers.push(start_worker(3 + at)));
    if has_trouble {
        proxy.wait_lost("table=servers");
        sleep_s(0.05);
        proxy.come_back();
    }
    let back = record.now();
    record.line(&format!("the store serves all entries again, after {:.3} s", back - away));
    if has_trouble && back - away > 9.0 {
        cannot_run("the entry was turned away for over 9 s");
    }
    sleep_s(LEAVE_AFTER_S);
    workers[..RELEASED].iter().for_each(|worker| worker.deregister());
    let removed = record.now();
    sleep_s(DRAIN_S + LINGER_S);
    workers[..RELEASED].iter().for_each(|worker| worker.exit());
    load.join().unwrap();
    sleep_s(1.5);
    if entry_1.has_ended() || entry_2.has_ended() || entry_3.has_ended() {
        cannot_run("an entry ended by itself");
    }
    let in_touch = if has_trouble { back + CONTACT_S } else { 0.0 };
    let outcomes = outcomes.lock().unwrap().clone();
    judge_drain(&record, &workers, RELEASED, &outcomes, removed + DRAIN_S, in_touch)
}
