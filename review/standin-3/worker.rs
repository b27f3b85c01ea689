//! Stand-in for a worker of a plain service (PROTOCOL.md, "Workers"), as in `../standin-2/worker.rs`, but
//! one that a request crashes can also go dark.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};
use crate::record::Record;
use crate::store::Store;

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub is_fatal: bool,
}

pub struct WorkerState {
    pub is_up: bool,
    is_draining: bool,
    is_dark: bool,
    boot: u64,
    born: u64,
    running: usize,
    waiting: usize,
    conns: HashMap<u64, TcpStream>,
    next_conn: u64,
    cold_until: Option<Instant>,
    /// When it last became cold.
    cold_from: Duration,
    pub arrivals: Vec<Arrival>,
    /// When it ended.
    pub crashes: Vec<Duration>,
}

/// What a worker is.
#[derive(Clone)]
pub struct WorkerKind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub cold_time: Duration,
    /// Requests in a second at which it crashes while it is cold.
    pub cold_crash: usize,
    /// Time for which a request runs that crashes it.
    pub fatal_work: Duration,
    /// Whether it goes dark when a request crashes it: it sends nothing any more, and its channels hang.
    pub goes_dark: bool,
}

/// End of the paths of requests that crash the worker that begins to run them.
pub const FATAL: &str = "/fatal";

#[derive(Clone)]
pub struct Worker {
    pub kind: WorkerKind,
    pub addr: SocketAddr,
    shared: Arc<(Mutex<WorkerState>, Condvar)>,
    record: Record,
    store: Store,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Worker {
    /// Starts a worker and registers it in the store.
    pub fn start(kind: WorkerKind, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let state = WorkerState {
            is_up: false,
            is_draining: false,
            is_dark: false,
            boot: 0,
            born: 0,
            running: 0,
            waiting: 0,
            conns: HashMap::new(),
            next_conn: 0,
            cold_until: None,
            cold_from: Duration::ZERO,
            arrivals: Vec::new(),
            crashes: Vec::new(),
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let worker = Self { kind, addr, shared, record: record.clone(), store: store.clone() };
        worker.boot(listener, false);
        worker.register();
        worker
    }

    pub fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.shared.0.lock().expect("the worker's state")
    }

    fn boot(&self, listener: TcpListener, is_cold: bool) {
        listener.set_nonblocking(true).expect("a socket");
        let boot = {
            let mut state = self.lock();
            state.is_up = true;
            state.boot += 1;
            state.born = unix_ms();
            (state.running, state.waiting) = (0, 0);
            state.cold_until = is_cold.then(|| Instant::now() + self.kind.cold_time);
            state.cold_from = self.record.now();
            state.boot
        };
        let cold = if is_cold { ", cold" } else { "" };
        self.record.line(&format!("worker {} starts (boot {boot}{cold})", self.kind.id));
        let worker = self.clone();
        thread::spawn(move || worker.accept(&listener, boot));
    }

    /// Writes the worker's row, as its heartbeat does.
    pub fn register(&self) {
        let state = self.lock();
        let left = state
            .cold_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        let WorkerKind { id, service, zone, slots, .. } = &self.kind;
        let phase = if state.is_draining { "draining" } else { "ready" };
        let row = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{slots},"phase":"{phase}","cold_remaining_ms":{},"call_seq":0,"born":{}}}"#,
            self.addr,
            left.as_millis(),
            state.born
        );
        drop(state);
        self.store.put("servers", id, &row);
        let left = left.as_millis();
        self.record.line(&format!("worker {id} writes its row: {phase}, cold for {left} ms"));
    }

    /// Becomes cold again, without a start.
    pub fn chill(&self) {
        let mut state = self.lock();
        state.cold_until = Some(Instant::now() + self.kind.cold_time);
        state.cold_from = self.record.now();
        drop(state);
        self.record.line(&format!("worker {} becomes cold", self.kind.id));
    }

    /// Reports that it drains. Returns when the store had accepted that.
    pub fn drain(&self) -> Duration {
        self.lock().is_draining = true;
        self.register();
        self.record.now()
    }

    /// Ends as a crashed process does: the listener and all connections close at once.
    pub fn crash(&self) {
        self.end("crashes");
    }

    /// Exits, with what still runs.
    pub fn exit(&self) {
        self.end("exits");
    }

    /// Goes dark: what is connected stays connected, and nothing is read or sent any more.
    fn go_dark(&self) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        (state.is_up, state.is_dark) = (false, true);
        state.crashes.push(self.record.now());
        self.shared.1.notify_all();
        drop(state);
        self.record.line(&format!("worker {} goes dark", self.kind.id));
    }

    /// Holds what the caller holds for as long as the worker is dark: until the case ends.
    fn stay_dark(&self) {
        while self.lock().is_dark {
            thread::sleep(Duration::from_secs(1));
        }
    }

    fn end(&self, how: &str) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        state.is_up = false;
        state.crashes.push(self.record.now());
        for (_, stream) in state.conns.drain() {
            stream.shutdown(Shutdown::Both).ok();
        }
        self.shared.1.notify_all();
        self.record.line(&format!("worker {} {how}", self.kind.id));
    }

    fn is_boot(state: &WorkerState, boot: u64) -> bool {
        state.is_up && state.boot == boot
    }

    fn accept(&self, listener: &TcpListener, boot: u64) {
        while Self::is_boot(&self.lock(), boot) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a socket");
            let Ok(kept) = stream.try_clone() else { continue };
            let mut state = self.lock();
            let number = state.next_conn;
            state.next_conn += 1;
            state.conns.insert(number, kept);
            drop(state);
            let worker = self.clone();
            thread::spawn(move || {
                worker.serve(Conn::new(stream), boot);
                worker.lock().conns.remove(&number);
            });
        }
        self.stay_dark();
    }

    fn serve(&self, mut conn: Conn, boot: u64) {
        while let Ok(request) = conn.read_message(false) {
            let Some((head, body)) = self.handle(&request, boot) else { return self.stay_dark() };
            if conn.write(&head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Handles a request. `None` if the worker has ended meanwhile.
    fn handle(&self, request: &Message, boot: u64) -> Option<(String, String)> {
        let id = request.header("x-ebonyusher-attempt-id").unwrap_or("-").to_owned();
        let at = self.record.now();
        let mut state = self.lock();
        if !Self::is_boot(&state, boot) {
            return None;
        }
        let expected = request.header("x-ebonyusher-expect-instance");
        if expected.is_some_and(|expected| expected != self.kind.id) {
            drop(state);
            self.record.line(&format!("{id} reaches {}, misdirected", self.kind.id));
            return Some((self.head(421, &id, "", 0), String::new()));
        }
        let is_fatal = request.target().ends_with(FATAL);
        state.arrivals.push(Arrival { at, id: id.clone(), is_fatal });
        let second = at.saturating_sub(Duration::from_secs(1)).max(state.cold_from);
        let recent = state.arrivals.iter().rev().take_while(|other| other.at > second).count();
        let is_cold = state.cold_until.is_some_and(|until| Instant::now() < until);
        self.record.line(&format!("{id} reaches {}", self.kind.id));
        if is_cold && recent > self.kind.cold_crash {
            drop(state);
            self.crash();
            return None;
        }
        if state.running >= self.kind.slots && state.waiting >= self.kind.queue {
            drop(state);
            return Some((
                self.head(503, &id, "x-ebonyusher-not-executed: 1\r\n", 0),
                String::new(),
            ));
        }
        state.waiting += 1;
        while state.running >= self.kind.slots && Self::is_boot(&state, boot) {
            state = self.shared.1.wait(state).expect("the worker's state");
        }
        if !Self::is_boot(&state, boot) {
            return None;
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        self.record.line(&format!("{id} runs at {}", self.kind.id));
        if is_fatal {
            thread::sleep(self.kind.fatal_work);
            if self.kind.goes_dark {
                self.go_dark();
            } else {
                self.crash();
            }
            return None;
        }
        thread::sleep(self.kind.work);
        let mut state = self.lock();
        if !Self::is_boot(&state, boot) {
            return None;
        }
        state.running -= 1;
        self.shared.1.notify_all();
        let load = format!("{},{},{}", state.running, state.waiting, self.kind.slots);
        drop(state);
        let body = format!("{{\"done\":\"{id}\"}}");
        let close = if self.lock().is_draining { "connection: close\r\n" } else { "" };
        let headers = format!("x-ebonyusher-server-load: {load}\r\n{close}");
        Some((self.head(200, &id, &headers, body.len()), body))
    }

    fn head(&self, status: u16, id: &str, headers: &str, length: usize) -> String {
        format!(
            "HTTP/1.1 {status} -\r\nx-ebonyusher-attempt-id: {id}\r\nx-ebonyusher-server-seal: {}.{id}\r\n{headers}keep-alive: timeout=5\r\ncontent-length: {length}\r\n\r\n",
            self.kind.id
        )
    }
}
