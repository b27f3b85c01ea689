//! Stand-in for the ranks of an expert-parallel group (PROTOCOL.md, "Requests" and "Workers"): they run
//! their streams in lock-step. When a rank is lost, all stall; then what runs is cut off and what comes is
//! refused until the rank is back and the group has formed again.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};
use crate::record::Record;
use crate::store::Store;

/// Time for which work that depends on a lost rank stalls (`stall_ms`).
const STALL: Duration = Duration::from_millis(1_500);
/// Time in which the group forms once the rank is back (`form_ms`).
const FORM: Duration = Duration::from_millis(600);
/// Time until a lost rank is back.
const DOWN: Duration = Duration::from_millis(4_000);
/// Time after which the row of a rank that sends nothing is removed: three heartbeats of 1.2 s.
const ROW_TIME: Duration = Duration::from_millis(3_600);
/// Time to the first event of a stream, and between two events.
const FIRST: Duration = Duration::from_millis(150);
const GAP: Duration = Duration::from_millis(32);
/// Number of events of a stream.
pub const EVENTS: usize = 28;
const SLOTS: usize = 12;
const POLL: Duration = Duration::from_millis(2);
pub const SERVICE: &str = "pool";
/// End of the paths of requests that crash the rank that begins to run them.
pub const FATAL: &str = "/fatal";

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Stalled,
    Broken,
}

struct State {
    phase: Phase,
    /// Number of times that a rank was lost.
    losses: usize,
    ranks: Vec<Rank>,
    /// When a request began to run that crashes its rank.
    fatal_runs: Vec<Duration>,
    /// When ranks were lost.
    crashes: Vec<Duration>,
    /// Number of streams that ended before their last event.
    cut: usize,
}

/// One boot of a rank.
#[derive(Clone)]
struct Rank {
    id: String,
    zone: String,
    place: usize,
    boot: usize,
    addr: SocketAddr,
    running: Arc<Mutex<usize>>,
    life: Arc<Mutex<Life>>,
}

#[derive(Default)]
struct Life {
    is_crashed: bool,
    is_dark: bool,
    conns: HashMap<u64, TcpStream>,
    next_conn: u64,
}

#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    /// Whether ranks go dark when a request crashes them.
    goes_dark: bool,
}

impl Rank {
    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("the rank's state")
    }

    fn running(&self) -> MutexGuard<'_, usize> {
        self.running.lock().expect("the rank's load")
    }

    /// Holds what the caller holds for as long as the rank is dark: until the case ends.
    fn stay_dark(&self) {
        while self.life().is_dark {
            thread::sleep(Duration::from_secs(1));
        }
    }
}

impl Group {
    /// Starts a group with so many ranks in each of the zones.
    pub fn start(
        zones: &[&str],
        each: usize,
        goes_dark: bool,
        store: &Store,
        record: &Record,
    ) -> Self {
        let state = State {
            phase: Phase::Open,
            losses: 0,
            ranks: Vec::new(),
            fatal_runs: Vec::new(),
            crashes: Vec::new(),
            cut: 0,
        };
        let (store, record) = (store.clone(), record.clone());
        let group = Self { state: Arc::new(Mutex::new(state)), store, record, goes_dark };
        for place in 0..zones.len() * each {
            group.boot(place, zones[place % zones.len()], 1);
        }
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the group's state")
    }

    /// When requests that crash their ranks began to run, and when ranks were lost.
    pub fn fatal_runs(&self) -> (Vec<Duration>, Vec<Duration>) {
        let state = self.lock();
        (state.fatal_runs.clone(), state.crashes.clone())
    }

    /// Number of streams that were cut.
    pub fn cut(&self) -> usize {
        self.lock().cut
    }

    /// Starts a rank and registers it.
    fn boot(&self, place: usize, zone: &str, boot: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let rank = Rank {
            id: format!("i-{place:02}-{boot}"),
            zone: zone.to_owned(),
            place,
            boot,
            addr,
            running: Arc::default(),
            life: Arc::default(),
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let row = format!(
            r#"{{"service":"{SERVICE}","address":"{addr}","zone":"{zone}","version":"v1","slots":{SLOTS},"phase":"ready","cold_remaining_ms":0,"call_seq":0,"born":{born}}}"#
        );
        self.record.line(&format!("rank {} starts", rank.id));
        self.lock().ranks.push(rank.clone());
        let group = self.clone();
        let served = rank.clone();
        thread::spawn(move || group.accept(&listener, &served));
        self.store.put("servers", &rank.id, &row);
    }

    fn accept(&self, listener: &TcpListener, rank: &Rank) {
        listener.set_nonblocking(true).expect("a socket");
        while !rank.life().is_crashed {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL);
                continue;
            };
            stream.set_nonblocking(false).expect("a socket");
            let Ok(kept) = stream.try_clone() else { continue };
            let number = {
                let mut life = rank.life();
                life.next_conn += 1;
                let number = life.next_conn;
                life.conns.insert(number, kept);
                number
            };
            let (group, rank) = (self.clone(), rank.clone());
            thread::spawn(move || {
                group.serve(Conn::new(stream), &rank);
                rank.life().conns.remove(&number);
            });
        }
        rank.stay_dark();
    }

    fn serve(&self, mut conn: Conn, rank: &Rank) {
        while let Ok(request) = conn.read_message(false) {
            let is_kept = !rank.life().is_crashed && self.answer(&mut conn, &request, rank);
            rank.stay_dark();
            if !is_kept {
                conn.stream.shutdown(Shutdown::Both).ok();
                return;
            }
        }
    }

    /// Answers a request. Returns whether the channel is kept.
    fn answer(&self, conn: &mut Conn, request: &Message, rank: &Rank) -> bool {
        let id = request.header("x-ebonyusher-attempt-id").unwrap_or("-").to_owned();
        self.record.line(&format!("{id} reaches {}", rank.id));
        let expected = request.header("x-ebonyusher-expect-instance");
        if expected.is_some_and(|expected| expected != rank.id) {
            return conn.write(&head(421, &id, "content-length: 0\r\n"), b"").is_ok();
        }
        loop {
            let phase = self.lock().phase;
            match phase {
                Phase::Open => break,
                Phase::Stalled => thread::sleep(POLL),
                Phase::Broken => {
                    let load = format!(
                        "x-ebonyusher-not-executed: 1\r\nx-ebonyusher-server-load: 0,0,{SLOTS}\r\ncontent-length: 0\r\n"
                    );
                    return conn.write(&head(503, &id, &load), b"").is_ok();
                }
            }
            if rank.life().is_crashed {
                return false;
            }
        }
        self.record.line(&format!("{id} runs at {}", rank.id));
        if request.target().ends_with(FATAL) {
            self.lock().fatal_runs.push(self.record.now());
            self.lose(rank);
            return false;
        }
        *rank.running() += 1;
        let is_whole = self.stream(conn, request, &id, rank);
        *rank.running() -= 1;
        if !is_whole {
            self.lock().cut += 1;
        }
        is_whole
    }

    /// Waits while the group stalls. Returns whether it goes on.
    fn runs(&self, rank: &Rank, losses: usize) -> bool {
        loop {
            if rank.life().is_crashed {
                return false;
            }
            let state = self.lock();
            let (phase, is_same) = (state.phase, state.losses == losses);
            drop(state);
            match phase {
                Phase::Open => return is_same,
                Phase::Stalled => thread::sleep(POLL),
                Phase::Broken => return false,
            }
        }
    }

    fn stream(&self, conn: &mut Conn, request: &Message, id: &str, rank: &Rank) -> bool {
        let losses = self.lock().losses;
        let last = request.header("last-event-id").and_then(|text| text.parse::<usize>().ok());
        thread::sleep(FIRST);
        if !self.runs(rank, losses) {
            return false;
        }
        let running = *rank.running();
        let headers = format!(
            "x-ebonyusher-server-seal: {}.{id}\r\nx-ebonyusher-server-load: {running},0,{SLOTS}\r\nx-ebonyusher-weight-versions: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
            rank.id
        );
        if conn.write(&head(200, id, &headers), b"").is_err() {
            return true;
        }
        for event in last.unwrap_or_default() + 1..=EVENTS {
            if !self.runs(rank, losses) {
                return false;
            }
            let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(50));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if conn.write(&chunk, b"").is_err() {
                // The client has left.
                return true;
            }
            thread::sleep(GAP);
        }
        self.runs(rank, losses) && conn.write("0\r\n\r\n", b"").is_ok()
    }

    /// Loses a rank to the request that it has begun to run.
    fn lose(&self, rank: &Rank) {
        {
            let mut life = rank.life();
            if life.is_crashed {
                return;
            }
            life.is_crashed = true;
            life.is_dark = self.goes_dark;
            if !self.goes_dark {
                for (_, stream) in life.conns.drain() {
                    stream.shutdown(Shutdown::Both).ok();
                }
            }
        }
        let how = if self.goes_dark { "goes dark" } else { "crashes" };
        self.record.line(&format!("rank {} {how}", rank.id));
        {
            let mut state = self.lock();
            state.phase = Phase::Stalled;
            state.losses += 1;
            state.crashes.push(self.record.now());
        }
        let (group, rank) = (self.clone(), rank.clone());
        thread::spawn(move || {
            thread::sleep(STALL);
            group.lock().phase = Phase::Broken;
            thread::sleep(ROW_TIME - STALL);
            group.store.remove("servers", &rank.id);
            group.record.line(&format!("the row of {} is removed", rank.id));
            thread::sleep(DOWN - ROW_TIME);
            group.boot(rank.place, &rank.zone, rank.boot + 1);
            thread::sleep(FORM);
            group.lock().phase = Phase::Open;
            group.record.line("the group is open again");
        });
    }
}

fn head(status: u16, id: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status} -\r\nx-ebonyusher-attempt-id: {id}\r\nkeep-alive: timeout=5\r\n{headers}\r\n")
}
