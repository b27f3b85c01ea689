//! Parts of the stand-ins that the cases share: HTTP/1.1, JSON, the platform's store, a proxy whose
//! open channels can be made silent, plain workers, and the processes of the system.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

/// Writes what was sent, answered and run to `record.txt`, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = Mutex::new(fs::File::create(path).expect("record.txt can be written"));
        Arc::new(Self { start: Instant::now(), file })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        self.file.lock().unwrap().write_all(line.as_bytes()).ok();
    }

    pub fn verdict(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the case, and all that it started, if it takes longer than this.
pub fn limit_time(seconds: f64) {
    thread::spawn(move || {
        sleep_s(seconds);
        cannot_run("the case took too long")
    });
}

pub fn sleep_s(seconds: f64) {
    if seconds > 0.0 {
        thread::sleep(Duration::from_secs_f64(seconds));
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads the head of a request or an answer; `None` if the channel has ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { line, ..Message::default() };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok((size > 0).then_some(chunk))
}

pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if let Some(length) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    }
    Ok(())
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Returns an address that nobody listens on at the moment.
pub fn free_addr() -> SocketAddr {
    listen().local_addr().unwrap()
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    fn skip(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(|b| b.is_ascii_whitespace() || *b == b',' || *b == b':') {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = Vec::new();
                loop {
                    Self::skip(text, at);
                    if *text.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    let Json::Text(key) = Self::value(text, at)? else { return None };
                    table.push((key, Self::value(text, at)?));
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(text, at);
                    if *text.get(*at)? == b']' {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    list.push(Self::value(text, at)?);
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    let byte = *text.get(*at)?;
                    *at += 1;
                    match byte {
                        b'"' => return Some(Json::Text(String::from_utf8(out).ok()?)),
                        b'\\' => {
                            let escaped = *text.get(*at)?;
                            *at += 1;
                            out.push(match escaped {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                other => other,
                            });
                        }
                        other => out.push(other),
                    }
                }
            }
            _ => {
                let from = *at;
                while text.get(*at).is_some_and(|b| !b",]}: \n".contains(b)) {
                    *at += 1;
                }
                match std::str::from_utf8(&text[from..*at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> f64 {
        match self.get(key) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let word = piece.iter().fold(0u32, |word, b| (word << 8) | u32::from(*b)) << (8 * (3 - piece.len()));
        for digit in 0..4 {
            if digit <= piece.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Row {
    /// In base64; `None` once it is dropped.
    value: Option<String>,
    ver: u64,
}

/// Key of a row: table, part, key.
type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<RowKey, Row>,
}

/// The platform's store, in the form of tables: reads, the feed and transactions.
pub struct Store {
    start: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = listen();
        let addr = listener.local_addr().unwrap();
        let store = Arc::new(Self {
            start: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            addr,
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream).ok());
            }
        });
        store
    }

    /// Writes a row as the operator or a worker does. When this returns, the write is acknowledged.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        let mut rows = self.rows.lock().unwrap();
        let (id, value) = ((table.to_owned(), String::new(), key.to_owned()), Some(base64(json.as_bytes())));
        // A heartbeat that says the same as before doesn't change the entry.
        if rows.rows.get(&id).is_some_and(|row| row.value == value) {
            return;
        }
        rows.ver += 1;
        let row = Row { value, ver: rows.ver };
        rows.rows.insert(id, row);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let row = Row { value: None, ver: rows.ver };
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = read_message(&mut reader)? {
            let (status, body) = self.call(&request);
            thread::sleep(Duration::from_millis(4));
            let kind = [("Content-Type", "application/json".to_owned())];
            stream.write_all(&answer(status, &kind, body.as_bytes()))?;
        }
        Ok(())
    }

    fn call(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, value.replace("%00", "\0").replace("%2F", "/")))
            .collect();
        match path {
            "/v1/rows-get" => (200, self.get(&query)),
            "/v1/rows-feed" => (200, self.feed(&query)),
            "/v1/rows-tx" => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reply(&self, found: &[(&RowKey, &Row)], ver: u64, more: bool) -> String {
        let rows: Vec<String> = found.iter().map(|(key, row)| row_json(key, row)).collect();
        let now_ms = self.start.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"more_pages\":{more},\"ver\":{ver},\"now_ms\":{now_ms}}}",
            rows.join(",")
        )
    }

    fn get(&self, query: &HashMap<&str, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let to = query.get("to").cloned();
        let rows = self.rows.lock().unwrap();
        let fits = |(key, row): &(&RowKey, &Row)| {
            let beyond = to.as_ref().is_some_and(|to| key.2 >= *to);
            row.value.is_some() && key.0 == table && key.1 == part && key.2 >= from && !beyond
        };
        let found: Vec<_> = rows.rows.iter().filter(fits).take(limit + 1).collect();
        let more = found.len() > limit;
        self.reply(&found[..found.len().min(limit)], rows.ver, more)
    }

    fn feed(&self, query: &HashMap<&str, String>) -> String {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let (since, wait) = (number("since_revision"), number("wait_ms").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let fits = |(key, row): &(&RowKey, &Row)| key.0 == table && row.ver > since;
            let mut found: Vec<_> = rows.rows.iter().filter(fits).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, row)| row.ver);
                return self.reply(&found, rows.ver, false);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(doc) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let version = |rows: &Rows, key: &RowKey| {
            rows.rows.get(key).filter(|row| row.value.is_some()).map_or(0, |row| row.ver)
        };
        let checks = doc.list("expected_revision");
        if checks.iter().any(|check| version(&rows, &key(check)) != check.number("ver") as u64) {
            let keys: Vec<RowKey> = checks.iter().map(key).collect();
            let found: Vec<_> = keys
                .iter()
                .filter_map(|key| rows.rows.get_key_value(key))
                .filter(|(_, row)| row.value.is_some())
                .collect();
            return (412, self.reply(&found, rows.ver, false));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for put in doc.list("set_keys") {
            rows.rows.insert(key(&put), Row { value: Some(put.text("value")), ver });
        }
        for gone in doc.list("remove") {
            rows.rows.insert(key(&gone), Row { value: None, ver });
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.start.elapsed().as_millis()))
    }
}

fn row_json(key: &RowKey, row: &Row) -> String {
    let head = format!("\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\"", key.0, key.1, key.2);
    match &row.value {
        Some(value) => format!("{{{head},\"value\":\"{value}\",\"ver\":{}}}", row.ver),
        None => format!("{{{head},\"ver\":{},\"deleted\":true}}", row.ver),
    }
}

// ---------------------------------------------------------------- proxy

/// Passes channels on to an address. Open ones can be made silent for good: they stay open and
/// nothing is passed on any more; new ones work. And for a time, no response can be given: what
/// arrives is lost, and a channel on which anything is lost delivers nothing further.
pub struct Proxy {
    pub addr: SocketAddr,
    state: Arc<ProxyState>,
}

#[derive(Default)]
struct ProxyState {
    generation: AtomicU64,
    is_away: AtomicBool,
    /// What was lost while no response was given.
    lost: Mutex<Vec<String>>,
}

/// One channel through a proxy.
struct Channel {
    born: u64,
    is_dead: AtomicBool,
    proxy: Arc<ProxyState>,
}

impl Channel {
    /// Returns whether bytes are passed on.
    fn passes(&self, bytes: &[u8]) -> bool {
        if self.proxy.is_away.load(Ordering::SeqCst) {
            self.is_dead.store(true, Ordering::SeqCst);
            self.proxy.lost.lock().unwrap().push(String::from_utf8_lossy(bytes).into_owned());
        }
        !self.is_dead.load(Ordering::SeqCst)
            && self.proxy.generation.load(Ordering::SeqCst) == self.born
    }

    fn is_alive(&self) -> bool {
        !self.is_dead.load(Ordering::SeqCst)
            && !self.proxy.is_away.load(Ordering::SeqCst)
            && self.proxy.generation.load(Ordering::SeqCst) == self.born
    }
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = listen();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(ProxyState::default());
        let proxy = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                near.set_nodelay(true).ok();
                far.set_nodelay(true).ok();
                let born = proxy.generation.load(Ordering::SeqCst);
                let (is_dead, proxy) = (AtomicBool::new(false), Arc::clone(&proxy));
                let channel = Arc::new(Channel { born, is_dead, proxy });
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let channel = Arc::clone(&channel);
                    thread::spawn(move || pump(from, to, &channel));
                }
            }
        });
        Self { addr, state }
    }

    /// Makes all open channels silent for good.
    pub fn silence(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Gives no response from now on.
    pub fn go_away(&self) {
        self.state.is_away.store(true, Ordering::SeqCst);
    }

    /// Gives responses again, on new channels.
    pub fn come_back(&self) {
        self.state.is_away.store(false, Ordering::SeqCst);
    }

    /// Waits until something with this text is lost from now on.
    pub fn wait_lost(&self, text: &str) {
        self.state.lost.lock().unwrap().clear();
        while !self.state.lost.lock().unwrap().iter().any(|lost| lost.contains(text)) {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, channel: &Channel) {
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(count) if count > 0 => {
                if channel.passes(&buffer[..count]) && to.write_all(&buffer[..count]).is_err() {
                    return;
                }
            }
            _ => {
                if channel.is_alive() {
                    to.shutdown(Shutdown::Both).ok();
                }
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- the system's processes

/// Ids of the processes that were started and not waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, then this one.
pub fn finish(code: i32) -> ! {
    for id in CHILDREN.lock().unwrap().iter() {
        Command::new("kill").arg("-KILL").arg(id.to_string()).status().ok();
    }
    std::process::exit(code)
}

/// A process of the system. It is killed when this is dropped.
pub struct Process(pub Child);

impl Process {
    /// Starts the program of a role of the deploy file.
    pub fn start(program: &str, settings: &str, log: &str) -> Self {
        let log = fs::File::create(log).expect("the log can be written");
        let mut command = Command::new(program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("EBONYUSHER_BOOT", settings).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().unwrap_or_else(|err| cannot_run(&format!("{program}: {err}")));
        CHILDREN.lock().unwrap().push(child.id());
        Self(child)
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        Command::new("kill").arg(format!("-{name}")).arg(self.0.id().to_string()).status().ok();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
        CHILDREN.lock().unwrap().retain(|id| *id != self.0.id());
    }
}

/// Ends a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    println!("could not run: {reason}");
    finish(2)
}

/// Addresses of an entry.
#[derive(Clone, Copy)]
pub struct EntryAddrs {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
}

/// Starts an entry with settings as `deploy/entry.json.tmpl` renders them on the small deployment
/// akwaaba-kites.
pub fn start_entry(dir: &str, name: &str, zone: &str, store: SocketAddr) -> (Process, EntryAddrs) {
    let addrs = EntryAddrs { frontend: free_addr(), readiness: free_addr() };
    let settings = format!(
        "{{\"name\":\"{name}\",\"domain\":\"{zone}\",\"listen\":\"{}\",\"readiness\":\"{}\",\
         \"metrics\":\"{}\",\"platform\":\"{store}\",\"grace-seconds\":8,\"drain-ms\":2000,\
         \"detection-ms\":3000,\"key-age-ms\":5000,\
         \"retries\":{{\"share\":0.2,\"window-seconds\":10,\"slack\":94}}}}",
        addrs.frontend,
        addrs.readiness,
        free_addr()
    );
    let path = format!("{dir}/{name}.json");
    fs::write(&path, settings).expect("the settings can be written");
    let log = format!("{dir}/{name}.log");
    (Process::start("target/release/ebonyusher-platform-entry", &path, &log), addrs)
}

pub fn wait_ready(entries: &[EntryAddrs]) {
    let until = Instant::now() + Duration::from_secs(20);
    for entry in entries {
        while !is_ready(entry) {
            if Instant::now() > until {
                cannot_run("an entry is not ready");
            }
            sleep_s(0.1);
        }
    }
}

pub fn is_ready(entry: &EntryAddrs) -> bool {
    let ask = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&entry.readiness, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        (&stream).write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
        Ok(read_message(&mut BufReader::new(&stream))?.map_or(0, |answer| answer.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

// ---------------------------------------------------------------- plain workers

/// A request that a worker has received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub attempt: String,
    pub at: f64,
}

/// A worker of a plain service: it registers in the store, checks the expected instance, runs
/// requests and tells its load.
pub struct Worker {
    pub id: String,
    pub zone: String,
    pub service: String,
    pub slots: usize,
    pub addr: SocketAddr,
    pub born: u64,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// When requests ended here, and their attempts.
    pub runs: Mutex<Vec<(String, f64)>>,
    record: Arc<Record>,
    store: Arc<Store>,
    running: Mutex<usize>,
    draining: AtomicBool,
    /// Whether it sends no more heartbeats.
    is_silent: AtomicBool,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    work_ms: fn(&mut Random) -> f64,
}

const HEARTBEAT_S: f64 = 1.2;

impl Worker {
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        id: &str,
        zone: &str,
        service: &str,
        slots: usize,
        work_ms: fn(&mut Random) -> f64,
    ) -> Arc<Self> {
        let listener = listen();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            slots,
            addr: listener.local_addr().unwrap(),
            born: unix_ms(),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
            record: Arc::clone(record),
            store: Arc::clone(store),
            running: Mutex::default(),
            draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            work_ms,
        });
        worker.beat();
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                sleep_s(HEARTBEAT_S);
                let is_over = |flag: &AtomicBool| flag.load(Ordering::SeqCst);
                if !is_over(&beating.ended) && !is_over(&beating.is_silent) {
                    beating.beat();
                }
            }
        });
        let accepting = Arc::clone(&worker);
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !accepting.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).ok();
                accepting.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let worker = Arc::clone(&accepting);
                thread::spawn(move || worker.serve(stream).ok());
            }
        });
        worker
    }

    fn beat(&self) {
        let phase = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"phase\":\"{phase}\",\"cold_remaining_ms\":0,\"call_seq\":0,\"born\":{}}}",
            self.service, self.addr, self.zone, self.slots, self.born
        );
        self.store.put("servers", &self.id, &row);
    }

    /// Reports `draining`. The store has accepted the report when this returns.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.beat();
        self.record.line(&format!("{} reports draining, acknowledged by the store", self.id));
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Crashes: all channels end and nothing listens any more. The entry in the store is removed
    /// after three heartbeat intervals of silence.
    pub fn crash(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("{} crashes", self.id));
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        let (store, id) = (Arc::clone(&self.store), self.id.clone());
        thread::spawn(move || {
            sleep_s(3.0 * HEARTBEAT_S);
            store.remove("servers", &id);
        });
    }

    /// Leaves without a report: its entry is removed from the store, and it goes on serving.
    pub fn deregister(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
        self.store.remove("servers", &self.id);
        self.record.line(&format!("the entry of {} is removed; it serves on", self.id));
    }

    /// Exits: the process ends and its entry is removed.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // The listener closes first.
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        self.store.remove("servers", &self.id);
        self.record.line(&format!("{} exits", self.id));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let seed = u64::from(stream.peer_addr()?.port()) + self.born;
        let mut random = Random::new(seed);
        while let Some(request) = read_message(&mut reader)? {
            let attempt = request.header("x-ebonyusher-attempt-id").unwrap_or("").to_owned();
            let echo = ("X-Ebonyusher-Attempt-Id", attempt.clone());
            if request.header("x-ebonyusher-expect-instance").is_some_and(|id| id != self.id) {
                let own = ("X-Ebonyusher-Instance-Id", self.id.clone());
                stream.write_all(&answer(421, &[echo, own], b""))?;
                continue;
            }
            self.arrivals.lock().unwrap().push(Arrival { attempt: attempt.clone(), at: self.record.now() });
            self.record.line(&format!("{} receives {attempt}", self.id));
            let running = {
                let mut running = self.running.lock().unwrap();
                *running += 1;
                *running
            };
            if running > self.slots {
                *self.running.lock().unwrap() -= 1;
                let not_run = ("X-Ebonyusher-Not-Executed", "1".to_owned());
                stream.write_all(&answer(503, &[echo, not_run], b""))?;
                continue;
            }
            if request.path().ends_with("/deadly") {
                thread::sleep(Duration::from_millis(20));
                self.crash();
                return Ok(());
            }
            thread::sleep(Duration::from_secs_f64((self.work_ms)(&mut random) / 1e3));
            *self.running.lock().unwrap() -= 1;
            if self.ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let is_draining = self.draining.load(Ordering::SeqCst);
            self.runs.lock().unwrap().push((attempt.clone(), self.record.now()));
            let mut headers = vec![
                echo,
                ("X-Ebonyusher-Server-Seal", format!("seal.{}.{attempt}", self.id)),
                ("X-Ebonyusher-Server-Load", format!("{running},0,{}", self.slots)),
            ];
            if is_draining {
                headers.push(("Connection", "close".to_owned()));
            }
            stream.write_all(&answer(200, &headers, format!("done {attempt}").as_bytes()))?;
            self.record.line(&format!("{} answers {attempt} with 200", self.id));
            if is_draining {
                return Ok(());
            }
        }
        Ok(())
    }
}

// ---------------------------------------------------------------- clients

/// What became of a client attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub attempt: String,
    pub sent: f64,
    /// Status, 0 if the channel ended without a complete answer.
    pub status: u16,
    pub took: f64,
}

/// Sends a request on a new channel and reads the whole answer.
pub fn request(
    record: &Record,
    entry: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    attempt: &str,
    body: &[u8],
    limit: Duration,
) -> Outcome {
    let sent = record.now();
    record.line(&format!("client sends {attempt}: {method} {path} to {entry}"));
    let exchange = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nX-Ebonyusher-Attempt-Id: {attempt}\r\n\
             X-Ebonyusher-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n",
            limit.as_millis(),
            body.len()
        );
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        (&stream).write_all(&bytes)?;
        Ok(read_message(&mut BufReader::new(&stream))?.map_or(0, |answer| answer.status()))
    };
    let status = exchange().unwrap_or(0);
    let took = record.now() - sent;
    record.line(&format!("client gets {status} for {attempt} after {took:.3} s"));
    Outcome { attempt: attempt.to_owned(), sent, status, took }
}

/// Sends orders (three of four) and look-ups to the entries in turn, each on a new channel.
pub fn start_load(
    record: &Arc<Record>,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    frontends: Vec<SocketAddr>,
    per_s: f64,
    seconds: f64,
) -> thread::JoinHandle<()> {
    let (record, outcomes) = (Arc::clone(record), Arc::clone(outcomes));
    thread::spawn(move || {
        let (begin, mut clients) = (record.now(), Vec::new());
        for at in 0..(seconds * per_s) as usize {
            sleep_s(begin + at as f64 / per_s - record.now());
            let (record, outcomes) = (Arc::clone(&record), Arc::clone(&outcomes));
            let entry = frontends[(at / 4) % frontends.len()];
            clients.push(thread::spawn(move || {
                let is_order = at % 4 != 3;
                let (method, path) = if is_order { ("POST", "/pay/1") } else { ("GET", "/look/1") };
                let name = if is_order { "order" } else { "lookup" };
                let body: &[u8] = if is_order { b"dues" } else { b"" };
                let (id, limit) = (format!("{name}-{at:05}"), Duration::from_millis(1_500));
                let ended = request(&record, entry, method, path, &CLIENT, &id, body, limit);
                outcomes.lock().unwrap().push(ended);
            }));
        }
        clients.into_iter().for_each(|client| client.join().unwrap());
    })
}

/// Headers of the clients.
pub const CLIENT: [(&str, &str); 2] =
    [("Host", "kites.example"), ("Authorization", "Bearer key-of-club-1")];

/// Orders that a worker received and that no worker ended.
pub fn lost_orders(workers: &[Arc<Worker>]) -> Vec<String> {
    let runs: Vec<String> =
        workers.iter().flat_map(|w| w.runs.lock().unwrap().clone()).map(|(id, _)| id).collect();
    let received = workers.iter().flat_map(|w| w.arrivals.lock().unwrap().clone());
    let ids = received.map(|arrival| arrival.attempt);
    ids.filter(|id| id.starts_with("order") && !runs.contains(id)).collect()
}

/// Work of the ledger: 60 ms in the mean.
pub fn ledger_ms(random: &mut Random) -> f64 {
    30.0 + 60.0 * random.unit()
}

/// A config with the two kinds of requests of the ledger, as on akwaaba-kites.
pub const LEDGER_CONFIG: &str = r#"{"version":7,"route_table":[
{"name":"r-pay","hostname":"kites.example","prefix":"/pay/","kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"members-ledger","max_attempts":1,"anonymous":false},
{"name":"r-look","hostname":"kites.example","prefix":"/look/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"members-ledger","max_attempts":2,"anonymous":false}],
"backends":[{"name":"members-ledger","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"club-1","api_keys":["key-of-club-1"],"priority":1}]}"#;

/// Judges the rule DRAIN: of requests that clients sent after `in_touch`, none may reach one of the
/// first `leaving` workers after `bound`.
pub fn judge_drain(
    record: &Record,
    workers: &[Arc<Worker>],
    leaving: usize,
    outcomes: &[Outcome],
    bound: f64,
    in_touch: f64,
) -> ! {
    let served = outcomes.iter().filter(|ended| ended.status == 200).count();
    if served * 2 < outcomes.len() {
        record.verdict(&format!("only {served} of {} were served", outcomes.len()));
        finish(2);
    }
    let all_lost = lost_orders(workers);
    let sent = |attempt: &str| {
        outcomes.iter().find(|ended| ended.attempt == attempt).map_or(0.0, |ended| ended.sent)
    };
    let arrivals: Vec<Arrival> =
        workers[..leaving].iter().flat_map(|w| w.arrivals.lock().unwrap().clone()).collect();
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.at > bound && sent(&arrival.attempt) > in_touch)
        .collect();
    for arrival in &late {
        let over = arrival.at - bound;
        record.line(&format!("LATE: {} reached a leaving worker {over:.3} s after drain_ms", arrival.attempt));
    }
    let lost: Vec<&str> =
        late.iter().map(|a| a.attempt.as_str()).filter(|id| all_lost.iter().any(|l| l == id)).collect();
    let failed = outcomes.iter().filter(|ended| !matches!(ended.status, 200 | 503)).count();
    record.verdict(&format!(
        "{} of {} served; {failed} ended otherwise than with 200 or 503; {} requests sent after {in_touch:.3} \
         reached the leaving workers later than drain_ms (after {bound:.3}); of these {} orders were accepted and never ended: {lost:?}",
        served, outcomes.len(), late.len(), lost.len()
    ));
    if late.is_empty() {
        record.verdict("DRAIN held");
        finish(0)
    }
    record.verdict("DRAIN is broken");
    finish(1);
}
