//! Stand-ins for the platform's store and for the four ranks of one group. Four sidecars of the
//! project run beside the ranks. The only disruption is `applied_late`: a share of the orders gets
//! no answer and is carried out 2.5 s later. The case looks for a pass that begins while two ranks
//! have different maps.

#[path = "../standin/store.rs"]
#[allow(dead_code)]
mod store;

use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use store::{J, Record, Reply, Store, parse, serve};

const RANKS: usize = 4;
const SETS: usize = 2;
const EXPERTS: usize = 16;
const PLACES: usize = 8;
const SPARE: usize = 3;
/// A pass of 5 steps of 5.85 ms each.
const PASS: Duration = Duration::from_millis(29);
/// 780 MB over 180,000 Mbit/s.
const COPY: Duration = Duration::from_millis(35);
/// Time after which an order without an answer is carried out.
const LATE: Duration = Duration::from_millis(2_500);
/// Longest time for which the impairment lasts, and the time from one beginning to the next.
const LATE_FOR: Duration = Duration::from_millis(5_500);
const LATE_EVERY: Duration = Duration::from_millis(7_000);
/// Largest share of the orders that gets no answer while the impairment lasts.
const MAX_SHARE: f64 = 0.35;
/// Orders to arm that a rank may leave unanswered for one version, and the other orders to come.
const STUCK_ORDERS: u64 = 8;
const OTHER_ORDERS: u64 = 6;
/// Time after which other experts are in demand.
const SHIFT_EVERY: Duration = Duration::from_millis(600);
const ORDERS_PER_TERM: u64 = 1 << 24;
const SERVICE: &str = "assistant-pool";
const RUN: Duration = Duration::from_secs(95);
const RUN_CALM: Duration = Duration::from_secs(40);

// ---------------------------------------------------------------------------------------- group

type Map = Vec<Vec<Vec<u16>>>;

#[derive(Clone)]
struct Prepared {
    version: u64,
    map: Map,
    ready: Instant,
    term: u64,
}

#[derive(Clone, Default)]
struct Rank {
    map_version: u64,
    map: Map,
    prepared: Option<Prepared>,
    greatest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
    call_seq: u64,
    counts: Vec<u64>,
}

struct Group {
    ranks: Vec<Rank>,
    step: u64,
    random: u64,
    weights: Vec<Vec<u64>>,
    switches: u64,
    broken: Option<String>,
    /// Orders while the impairment lasted, and those of them that got no answer.
    orders: u64,
    unanswered: u64,
    /// Rank whose orders to arm get no answer, by version.
    stuck: HashMap<u64, Option<usize>>,
    /// Versions of which two leaders have prepared different maps.
    contested: HashSet<u64>,
}

#[derive(Clone)]
struct Order {
    op: String,
    version: u64,
    step: u64,
    epoch: u64,
    fence: u64,
    map: Map,
}

#[derive(Clone)]
struct Standin {
    group: Arc<Mutex<Group>>,
    store: Store,
    record: Arc<Record>,
    trouble: bool,
    start: Instant,
}

fn in_turn() -> Map {
    (0..SETS)
        .map(|_| (0..RANKS).map(|rank| (rank..EXPERTS).step_by(RANKS).map(|e| e as u16).collect()).collect())
        .collect()
}

impl Group {
    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Other experts are in demand.
    fn shift(&mut self) {
        for set in 0..SETS {
            let mut weights = vec![2; EXPERTS];
            for _ in 0..3 {
                let hot = self.draw() as usize % EXPERTS;
                weights[hot] = 14 + self.draw() % 8;
            }
            self.weights[set] = weights;
        }
    }

    fn count(&mut self) {
        for rank in 0..RANKS {
            for set in 0..SETS {
                for expert in 0..EXPERTS {
                    let more = self.weights[set][expert] * 4 + self.draw() % 4;
                    self.ranks[rank].counts[set * EXPERTS + expert] += more;
                }
            }
        }
    }
}

impl Standin {
    /// Begins the next pass unless a rank holds the group before it.
    fn begin_pass(&self) {
        let mut group = self.group.lock().unwrap();
        let next = group.step + 1;
        if group.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        group.step = next;
        let mut switched = Vec::new();
        for at in 0..RANKS {
            let rank = &mut group.ranks[at];
            if let Some((version, step)) = rank.armed {
                if step == next {
                    let prepared = rank.prepared.take().expect("an armed rank has prepared a map");
                    rank.map_version = version;
                    rank.map = prepared.map;
                    rank.armed = None;
                    switched.push(at);
                }
            }
        }
        if !switched.is_empty() {
            group.switches += 1;
            self.record.line(&format!("pass {next} begins, ranks {switched:?} switch to map {}", group.ranks[switched[0]].map_version));
        }
        let first = &group.ranks[0];
        let other = (1..RANKS).find(|at| {
            let rank = &group.ranks[*at];
            rank.map_version != first.map_version || rank.map != first.map
        });
        if let Some(other) = other.filter(|_| group.broken.is_none()) {
            let mut text = format!("MAP broken: pass {next} begins while ranks have different maps:");
            for (at, rank) in group.ranks.iter().enumerate() {
                write!(text, " rank {at}: version {} {:?};", rank.map_version, rank.map).ok();
            }
            self.record.line(&text);
            group.broken = Some(format!("pass {next}, ranks 0 and {other}"));
        }
        group.count();
    }

    fn is_impaired(&self) -> bool {
        let since = self.start.elapsed();
        let at = since.as_millis() % LATE_EVERY.as_millis();
        self.trouble && since > Duration::from_secs(3) && at < LATE_FOR.as_millis()
    }

    fn report(&self, at: usize) -> String {
        let group = self.group.lock().unwrap();
        let rank = &group.ranks[at];
        let number = |n: Option<u64>| n.map_or("null".to_owned(), |n| n.to_string());
        let prepared = rank.prepared.as_ref().filter(|p| p.ready <= Instant::now()).map(|p| p.version);
        let armed = rank.armed.map_or("null".to_owned(), |(version, step)| format!("{{\"version\":{version},\"step\":{step}}}"));
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"call_seq\":{},\"waiting\":0,\"running\":4,\"kv_used\":1000,\"kv_total\":372000,\"handles\":0,\
             \"group\":{{\"name\":\"g0\",\"epoch\":1,\"rank\":{at},\"phase\":\"open\"}},\"size\":{RANKS},\
             \"step\":{},\"map\":{},\"prepared\":{},\"armed\":{armed},\"held\":{},\"pace\":1.0}}",
            rank.call_seq, group.step, rank.map_version, number(prepared), number(rank.held)
        )
    }

    fn picked(&self, at: usize, lists: bool) -> String {
        let group = self.group.lock().unwrap();
        let rank = &group.ranks[at];
        if lists {
            let experts: Vec<&Vec<u16>> = rank.map.iter().map(|set| &set[at]).collect();
            return format!("{{\"step\":{},\"epoch\":1,\"map\":{{\"version\":{},\"experts\":{experts:?}}},\"prepared\":null}}", group.step, rank.map_version);
        }
        format!("{{\"step\":{},\"epoch\":1,\"counts\":{:?}}}", group.step, rank.counts)
    }

    /// Carries out an order as the pages say. Returns the status.
    fn carry_out(&self, at: usize, order: &Order) -> u16 {
        let mut group = self.group.lock().unwrap();
        let step = group.step;
        let rank = &mut group.ranks[at];
        if order.epoch != 1 {
            return 409;
        }
        if order.fence < rank.fence {
            return 412;
        }
        rank.fence = order.fence;
        let status = match order.op.as_str() {
            "prepare" => rank.prepare(order),
            "arm" => match &rank.prepared {
                _ if rank.armed == Some((order.version, order.step)) => 200,
                Some(p) if p.version == order.version && p.ready <= Instant::now() && order.step > step => {
                    rank.armed = Some((order.version, order.step));
                    202
                }
                _ => 409,
            },
            "disarm" if rank.map_version == order.version => 409,
            "disarm" if rank.armed.is_some_and(|(version, _)| version == order.version) => {
                rank.armed = None;
                202
            }
            "disarm" => 200,
            "hold" if order.step <= step => 409,
            "hold" if rank.held == Some(order.step) => 200,
            "hold" if rank.held.is_some() => 409,
            "hold" => {
                rank.held = Some(order.step);
                202
            }
            "go" if rank.held == Some(order.step) => {
                rank.held = None;
                202
            }
            "go" => 200,
            _ => 400,
        };
        if status == 202 {
            rank.call_seq += 1;
        }
        status
    }

    fn order(&self, at: usize, body: &[u8]) -> Reply {
        let order = Order::read(body);
        let term = order.fence / ORDERS_PER_TERM;
        let impaired = self.is_impaired();
        let is_late = impaired && self.is_late(at, &order, term);
        let share = {
            let mut group = self.group.lock().unwrap();
            group.orders += u64::from(impaired);
            group.unanswered += u64::from(is_late);
            format!("{}/{}", group.unanswered, group.orders)
        };
        let name = format!(
            "rank {at}: {} version {} step {} of term {term}, fence {}",
            order.op, order.version, order.step, order.fence % ORDERS_PER_TERM
        );
        if is_late {
            self.record.line(&format!("{name}: no answer, carried out later ({share})"));
            let (standin, order, name) = (self.clone(), order, name);
            thread::spawn(move || {
                thread::sleep(LATE);
                let status = standin.carry_out(at, &order);
                standin.record.line(&format!("{name}: carried out late, {status}"));
            });
            return Reply::Silent;
        }
        let status = self.carry_out(at, &order);
        self.record.line(&format!("{name}: {status}"));
        Reply::Status(status, "{}".into())
    }

    /// Decides whether an order gets no answer. Of all the choices that the impairment allows this
    /// is the one that
    /// - lets one rank leave the orders to arm unanswered until another sidecar has claimed a term,
    /// - and leaves the next leader's first order to prepare unanswered at a rank where the earlier
    ///   leader has prepared another map of the same version.
    fn is_late(&self, at: usize, order: &Order, term: u64) -> bool {
        let mut group = self.group.lock().unwrap();
        match order.op.as_str() {
            "prepare" => {
                let prepared = group.ranks[at].prepared.clone();
                let differs = prepared.is_some_and(|p| {
                    p.version == order.version && p.term < term && p.map != order.map
                });
                differs && group.contested.insert(order.version)
            }
            "arm" => {
                if group.contested.contains(&order.version) {
                    return false;
                }
                let orders = group.orders + STUCK_ORDERS + OTHER_ORDERS;
                let within = (group.unanswered + STUCK_ORDERS) as f64 <= MAX_SHARE * orders as f64;
                let stuck = *group.stuck.entry(order.version).or_insert(within.then_some(at));
                drop(group);
                if stuck != Some(at) {
                    return false;
                }
                // The answer is held back for less than the caller waits.
                for _ in 0..30 {
                    if self.store.term() > term {
                        return false;
                    }
                    thread::sleep(Duration::from_millis(2));
                }
                true
            }
            _ => false,
        }
    }
}

impl Rank {
    fn prepare(&mut self, order: &Order) -> u16 {
        if self.prepared.as_ref().is_some_and(|p| p.version == order.version && p.map == order.map) {
            return 200;
        }
        if order.version <= self.greatest || self.armed.is_some() {
            return 409;
        }
        let mut copies = 0;
        for (set, ranks) in order.map.iter().enumerate() {
            let own = RANKS.min(ranks.len());
            let mut new = 0;
            for rank in 0..own {
                let held = &self.map[set][rank];
                new = new.max(ranks[rank].iter().filter(|e| !held.contains(e)).count());
                if ranks[rank].len() > PLACES {
                    return 409;
                }
            }
            if new > SPARE {
                return 409;
            }
            copies += new;
        }
        self.greatest = order.version;
        let ready = Instant::now() + COPY * copies as u32;
        let term = order.fence / ORDERS_PER_TERM;
        self.prepared = Some(Prepared { version: order.version, map: order.map.clone(), ready, term });
        202
    }
}

impl Order {
    fn read(body: &[u8]) -> Self {
        let doc = parse(body);
        let number = |name: &str| doc.get(name).num().unwrap_or(0);
        let experts = |rank: &J| rank.items().iter().filter_map(|e| Some(e.num()? as u16)).collect();
        let ranks = |set: &J| set.items().iter().map(experts).collect();
        Self {
            op: doc.get("op").text().to_owned(),
            version: number("version"),
            step: number("step"),
            epoch: number("epoch"),
            fence: number("fencing_token"),
            map: doc.get("map").items().iter().map(ranks).collect(),
        }
    }
}

// ---------------------------------------------------------------------------------------- run

struct Sidecars(Vec<Child>);

impl Drop for Sidecars {
    fn drop(&mut self) {
        for child in &mut self.0 {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

fn ip(at: usize) -> String {
    format!("127.77.0.{}", at + 1)
}

/// Returns a port that is free at the addresses of all machines.
fn free_port(seed: &mut u64) -> u16 {
    loop {
        *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let port = 20_000 + (*seed >> 33) as u16 % 10_000;
        if (0..RANKS).all(|at| TcpListener::bind((ip(at).as_str(), port)).is_ok()) {
            return port;
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (folder, temp) = (args.next().expect("folder"), args.next().expect("temporary folder"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let start = Instant::now();
    let file = Mutex::new(File::create(format!("{folder}/record.txt")).expect("record.txt"));
    let record = Arc::new(Record { start, file });
    let store = Store { state: Arc::default(), start, record: Arc::clone(&record) };
    let rank = Rank { map: in_turn(), counts: vec![0; SETS * EXPERTS], ..Rank::default() };
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("clock").as_nanos() as u64 | 1;
    let mut group = Group {
        ranks: vec![rank; RANKS],
        step: 0,
        random: seed,
        weights: vec![Vec::new(); SETS],
        switches: 0,
        broken: None,
        orders: 0,
        unanswered: 0,
        stuck: HashMap::new(),
        contested: HashSet::new(),
    };
    group.shift();
    let standin = Standin {
        group: Arc::new(Mutex::new(group)),
        store: store.clone(),
        record: Arc::clone(&record),
        trouble,
        start,
    };
    let mut seed = seed;
    let (worker_port, peer_port) = (free_port(&mut seed), free_port(&mut seed));
    let listener = TcpListener::bind("127.0.0.1:0").expect("store");
    let platform = listener.local_addr().expect("address").to_string();
    let handler = store.clone();
    serve(listener, move |call| handler.handle(call));
    for at in 0..RANKS {
        let listener = TcpListener::bind((ip(at).as_str(), worker_port)).expect("rank");
        let standin = standin.clone();
        serve(listener, move |call| match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/report") => Reply::Status(200, standin.report(at)),
            ("GET", "/v1/picked") => Reply::Status(200, standin.picked(at, call.query.contains_key("lists"))),
            ("POST", "/v1/order") => standin.order(at, &call.body),
            _ => Reply::Status(404, "{}".into()),
        });
        let born = 1_700_000_000_000u64 + at as u64;
        let doc = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}:{worker_port}\",\"zone\":\"osu\",\"version\":\"v1\",\
             \"slots\":12,\"phase\":\"ready\",\"cold_remaining_ms\":0,\"call_seq\":0,\"born\":{born}}}",
            ip(at)
        );
        store.put("servers", &format!("i-{at}"), &doc);
    }
    let config = format!(
        "{{\"version\":1,\"route_table\":[],\"backends\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":418,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\"stride\":5,\
         \"step_ms\":5.85,\"per_seq_ms\":0.355,\"read_per_s\":61200.0,\"sets\":{SETS},\"experts\":{EXPERTS},\
         \"places\":{PLACES},\"spare\":{SPARE},\"expert_share\":0.85,\"form_ms\":600}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":20000}}}}"
    );
    store.put("op", "config", &config);

    let mut sidecars = Sidecars(Vec::new());
    for at in 0..RANKS {
        let settings = format!("{temp}/side-{at}.json");
        let text = format!(
            "{{\"name\":\"side-{at}\",\"peer\":\"{0}:{peer_port}\",\"platform\":\"{platform}\",\
             \"rank\":\"{0}:{worker_port}\",\"service\":\"{SERVICE}\"}}",
            ip(at)
        );
        fs::write(&settings, text).expect("settings");
        let child = Command::new("target/release/ebonyusher-platform-sidecar")
            .env("EBONYUSHER_BOOT", &settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let mut child = child.unwrap_or_else(|_| std::process::exit(2));
        let (output, record) = (child.stdout.take().expect("stdout"), Arc::clone(&record));
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("log of {line}"));
            }
        });
        sidecars.0.push(child);
    }

    let run = if trouble { RUN } else { RUN_CALM };
    let mut next_shift = SHIFT_EVERY;
    while start.elapsed() < run && standin.group.lock().unwrap().broken.is_none() {
        thread::sleep(PASS);
        if start.elapsed() >= next_shift {
            standin.group.lock().unwrap().shift();
            next_shift += SHIFT_EVERY;
        }
        standin.begin_pass();
    }
    thread::sleep(Duration::from_millis(150));
    drop(sidecars);
    let group = standin.group.lock().unwrap();
    let summary = format!(
        "{} passes, {} switches, {} terms, {} of {} orders during the impairment without an answer, {} versions with two maps",
        group.step, group.switches, store.term(), group.unanswered, group.orders, group.contested.len()
    );
    record.line(&summary);
    println!("{summary}");
    if let Some(broken) = &group.broken {
        println!("MAP broken: {broken}");
        std::process::exit(1);
    }
    std::process::exit(if group.switches < 3 { 2 } else { 0 });
}
