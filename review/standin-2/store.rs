//! Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store"): rows in tables,
//! transactions under conditions, reads and feeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::json::{base64, Json};

type Key = (String, String, String);

#[derive(Default)]
struct State {
    /// Version and value (base64) of each row; without a value the row was dropped.
    rows: BTreeMap<Key, (u64, Option<String>)>,
    version: u64,
    /// The address that each channel with a call under way came to, and the table that the call
    /// follows, by the channel's number.
    following: BTreeMap<u64, (SocketAddr, String)>,
    next_channel: u64,
    /// Channels on which nothing is answered any more.
    silent: BTreeSet<u64>,
}

/// An address of the store that can turn its callers away while the others are served.
#[derive(Clone)]
pub struct Door {
    pub addr: SocketAddr,
    is_shut: Arc<AtomicBool>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        Self { state: Arc::default(), started: Instant::now() }
    }

    /// Opens an address of the store.
    pub fn open(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let door = Door { addr, is_shut: Arc::default() };
        let (store, is_shut) = (self.clone(), Arc::clone(&door.is_shut));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_shut) = (store.clone(), Arc::clone(&is_shut));
                thread::spawn(move || store.serve(Conn::new(stream), addr, &is_shut));
            }
        });
        door
    }

    /// Turns the callers of an address away, with 503, or serves them again.
    pub fn shut(&self, door: &Door, is_shut: bool) {
        let _state = self.lock();
        door.is_shut.store(is_shut, Ordering::Relaxed);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the store's state")
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), String::new(), key.into()), (version, value));
        self.state.1.notify_all();
    }

    /// Makes the open channels of an address silent for good on which a call follows this table. New
    /// channels work. Returns how many these are.
    pub fn silence(&self, door: &Door, table: &str) -> usize {
        let mut state = self.lock();
        let meant = state
            .following
            .iter()
            .filter(|(_, (addr, followed))| *addr == door.addr && followed == table);
        let meant: Vec<u64> = meant.map(|(channel, _)| *channel).collect();
        state.silent.extend(meant.iter().copied());
        meant.len()
    }

    fn serve(&self, mut conn: Conn, addr: SocketAddr, is_shut: &AtomicBool) {
        let channel = {
            let mut state = self.lock();
            state.next_channel += 1;
            state.next_channel
        };
        while let Ok(request) = conn.read_message(false) {
            thread::sleep(Duration::from_millis(4));
            if request.target().starts_with("/v1/rows-feed") {
                let table = request.query("table").unwrap_or_default();
                self.lock().following.insert(channel, (addr, table));
            }
            let (status, body) = self.answer(&request, is_shut);
            self.lock().following.remove(&channel);
            if self.lock().silent.contains(&channel) {
                // The channel stays open, and what is sent on it is neither read nor answered.
                thread::sleep(Duration::from_secs(120));
                break;
            }
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if conn.write(&head, body.as_bytes()).is_err() {
                break;
            }
        }
        self.lock().following.remove(&channel);
        conn.stream.shutdown(Shutdown::Both).ok();
    }

    fn answer(&self, request: &Message, is_shut: &AtomicBool) -> (u16, String) {
        if is_shut.load(Ordering::Relaxed) {
            // Nothing was done.
            return (503, "{}".to_owned());
        }
        match request.target().split('?').next().unwrap_or_default() {
            "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            "/v1/rows-get" => self.read(request),
            "/v1/rows-feed" => self.feed(request, is_shut),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reply(&self, rows: &[String], version: u64, more: bool) -> (u16, String) {
        let now_ms = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        let more = format!("\"more_pages\":{more},");
        (200, format!("{{\"rows\":[{rows}],{more}\"ver\":{version},\"now_ms\":{now_ms}}}"))
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit = request.query("limit").and_then(|text| text.parse().ok()).unwrap_or(500_usize);
        let state = self.lock();
        let found = state.rows.iter().filter(|((of, at, key), (_, value))| {
            *of == table && *at == part && *key >= from && value.is_some()
        });
        let rows: Vec<String> = found.map(|(key, row)| row_text(key, row)).collect();
        let more = rows.len() > limit;
        self.reply(&rows[..rows.len().min(limit)], state.version, more)
    }

    fn feed(&self, request: &Message, is_shut: &AtomicBool) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let since = number("since_revision").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut state = self.lock();
        loop {
            if is_shut.load(Ordering::Relaxed) {
                return (503, "{}".to_owned());
            }
            let changed = state
                .rows
                .iter()
                .filter(|((of, _, _), (version, _))| *of == table && *version > since);
            let mut changed: Vec<(u64, String)> =
                changed.map(|(key, row)| (row.0, row_text(key, row))).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort();
                let rows: Vec<String> = changed.into_iter().map(|(_, text)| text).collect();
                return self.reply(&rows, state.version, false);
            }
            state = self.state.1.wait_timeout(state, left).expect("the store's state").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(doc) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let key = |row: &Json| -> Key {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.lock();
        let holds = doc.get("expected_revision").list().iter().all(|row| {
            let known = state.rows.get(&key(row)).filter(|(_, value)| value.is_some());
            known.map_or(0, |(version, _)| *version) == row.get("ver").number() as u64
        });
        if !holds {
            return (412, "{\"rows\":[]}".to_owned());
        }
        state.version += 1;
        let version = state.version;
        for row in doc.get("set_keys").list() {
            let value = row.get("value").text().to_owned();
            state.rows.insert(key(row), (version, Some(value)));
        }
        for row in doc.get("remove").list() {
            state.rows.insert(key(row), (version, None));
        }
        self.state.1.notify_all();
        (200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.started.elapsed().as_millis()))
    }
}

fn row_text((table, part, key): &Key, (version, value): &(u64, Option<String>)) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{version}}}"
    )
}
