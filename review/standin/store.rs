//! A stand-in for the platform's store, with the parts of HTTP, JSON and base64 that it and the
//! cases need.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const STORE_ANSWER: Duration = Duration::from_millis(4);

// ---------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(BTreeMap<String, J>),
}

impl J {
    pub fn get(&self, key: &str) -> &J {
        match self {
            J::Obj(map) => map.get(key).unwrap_or(&J::Null),
            _ => &J::Null,
        }
    }
    pub fn num(&self) -> Option<u64> {
        if let J::Num(n) = self { Some(*n as u64) } else { None }
    }
    pub fn text(&self) -> &str {
        if let J::Str(s) = self { s } else { "" }
    }
    pub fn items(&self) -> &[J] {
        if let J::Arr(items) = self { items } else { &[] }
    }
}

pub struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }
    fn value(&mut self) -> Option<J> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                let mut map = BTreeMap::new();
                self.at += 1;
                loop {
                    self.space();
                    match self.bytes.get(self.at)? {
                        b'}' => {
                            self.at += 1;
                            return Some(J::Obj(map));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let J::Str(key) = self.value()? else { return None };
                            self.space();
                            self.at += 1;
                            map.insert(key, self.value()?);
                        }
                    }
                }
            }
            b'[' => {
                let mut items = Vec::new();
                self.at += 1;
                loop {
                    self.space();
                    match self.bytes.get(self.at)? {
                        b']' => {
                            self.at += 1;
                            return Some(J::Arr(items));
                        }
                        b',' => self.at += 1,
                        _ => items.push(self.value()?),
                    }
                }
            }
            b'"' => {
                self.at += 1;
                let mut out = Vec::new();
                loop {
                    let byte = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match byte {
                        b'"' => return Some(J::Str(String::from_utf8_lossy(&out).into_owned())),
                        b'\\' => {
                            let next = *self.bytes.get(self.at)?;
                            self.at += 1;
                            out.push(match next {
                                b'n' => b'\n',
                                b't' => b'\t',
                                other => other,
                            });
                        }
                        other => out.push(other),
                    }
                }
            }
            b't' => self.word(4, J::Bool(true)),
            b'f' => self.word(5, J::Bool(false)),
            b'n' => self.word(4, J::Null),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len()
                    && matches!(self.bytes[self.at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
                {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(J::Num)
            }
        }
    }
    fn word(&mut self, len: usize, value: J) -> Option<J> {
        self.at += len;
        Some(value)
    }
}

pub fn parse(bytes: &[u8]) -> J {
    Parser { bytes, at: 0 }.value().unwrap_or(J::Null)
}

pub fn base64(bytes: &[u8]) -> String {
    const ABC: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let used = i <= chunk.len();
            out.push(if used { ABC[(n >> (18 - 6 * i)) as usize & 63] as char } else { '=' });
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let code = |c: u8| match c {
        b'A'..=b'Z' => Some(c - b'A'),
        b'a'..=b'z' => Some(c - b'a' + 26),
        b'0'..=b'9' => Some(c - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let (mut out, mut bits, mut n) = (Vec::new(), 0, 0u32);
    for c in text.bytes().filter_map(code) {
        n = (n << 6) | u32::from(c);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------------------------------- HTTP

pub struct Call {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub enum Reply {
    Status(u16, String),
    /// Status, further headers (each with its end of line), body.
    Full(u16, String, String),
    /// No answer; the channel stays open and delivers nothing further.
    Silent,
}

pub fn read_call(input: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if input.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").map_or(Some(0), |text: &String| text.parse().ok())?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), v.replace("%00", "\0"))).collect();
    Some(Call { method, path: path.to_owned(), query, headers, body })
}

pub fn serve(listener: TcpListener, handler: impl Fn(&Call) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(mut output) = stream.try_clone() else { return };
                let mut input = BufReader::new(stream);
                while let Some(call) = read_call(&mut input) {
                    let (status, headers, body) = match handler(&call) {
                        Reply::Status(status, body) => {
                            (status, "Content-Type: application/json\r\n".to_owned(), body)
                        }
                        Reply::Full(status, headers, body) => (status, headers, body),
                        Reply::Silent => {
                            let mut rest = [0; 512];
                            while matches!(input.read(&mut rest), Ok(n) if n > 0) {}
                            return;
                        }
                    };
                    let length = body.len();
                    let text = format!(
                        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
                    );
                    if output.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------------------------------- record

pub struct Record {
    pub start: Instant,
    pub file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.4} {text}").ok();
    }
}

// ---------------------------------------------------------------------------------------- store

#[derive(Default)]
pub struct StoreState {
    rows: BTreeMap<(String, String), (String, u64)>,
    removed: Vec<(String, String, u64)>,
    version: u64,
    /// Greatest term of the group that was written.
    term: u64,
}

#[derive(Clone)]
pub struct Store {
    pub state: Arc<(Mutex<StoreState>, Condvar)>,
    pub start: Instant,
    pub record: Arc<Record>,
}

impl Store {
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), key.into()), (base64(value.as_bytes()), version));
        changed.notify_all();
    }

    pub fn term(&self) -> u64 {
        self.state.0.lock().unwrap().term
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn handle(&self, call: &Call) -> Reply {
        let text = |name: &str| call.query.get(name).cloned().unwrap_or_default();
        let reply = match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/rows-get") => {
                let state = self.state.0.lock().unwrap();
                let from = text("from");
                let limit = text("limit").parse().unwrap_or(500);
                let table = text("table");
                let found = state.rows.iter().filter(|((t, key), _)| *t == table && *key >= from);
                let rows: Vec<String> = found.take(limit).map(|((_, k), (v, n))| row(&table, k, v, *n)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"more_pages\":false,\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","), state.version, self.now_ms()
                );
                Reply::Status(200, body)
            }
            ("GET", "/v1/rows-feed") => {
                let since: u64 = text("since_revision").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let (table, until) = (text("table"), Instant::now() + wait);
                let (state, changed) = &*self.state;
                let mut state = state.lock().unwrap();
                loop {
                    let found = state.rows.iter().filter(|((t, _), (_, n))| *t == table && *n > since);
                    let mut rows: Vec<(u64, String)> =
                        found.map(|((_, k), (v, n))| (*n, row(&table, k, v, *n))).collect();
                    for (t, key, n) in state.removed.iter().filter(|(t, _, n)| *t == table && *n > since) {
                        let text = format!("{{\"table\":\"{t}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{n},\"deleted\":true}}");
                        rows.push((*n, text));
                    }
                    rows.sort();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let rows: Vec<String> = rows.into_iter().map(|(_, text)| text).collect();
                        let body = format!(
                            "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                            rows.join(","), state.version, self.now_ms()
                        );
                        break Reply::Status(200, body);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/v1/rows-tx") => self.transact(&parse(&call.body)),
            _ => Reply::Status(404, "{}".into()),
        };
        thread::sleep(STORE_ANSWER);
        reply
    }

    fn transact(&self, txn: &J) -> Reply {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let name = |row: &J| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        for check in txn.get("expected_revision").items() {
            let known = state.rows.get(&name(check)).map_or(0, |(_, n)| *n);
            if check.get("ver").num() != Some(known) {
                return Reply::Status(412, "{\"rows\":[]}".into());
            }
        }
        state.version += 1;
        let version = state.version;
        for put in txn.get("set_keys").items() {
            let value = put.get("value").text();
            let (table, key) = name(put);
            if key.starts_with("term/") {
                let text = String::from_utf8_lossy(&unbase64(value)).into_owned();
                let term = parse(text.as_bytes()).get("term").num().unwrap_or(0);
                state.term = state.term.max(term);
                self.record.line(&format!("store: {key} = {text}"));
            }
            state.rows.insert((table, key), (value.to_owned(), version));
        }
        for key in txn.get("remove").items() {
            let (table, key) = name(key);
            state.rows.remove(&(table.clone(), key.clone()));
            state.removed.push((table, key, version));
        }
        changed.notify_all();
        Reply::Status(200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()))
    }
}

pub fn row(table: &str, key: &str, value: &str, version: u64) -> String {
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}")
}

