use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::connection::Connection;
use super::{Listed, OthersReport, Pulse, Silence, View};

/// First pause after a failure that speaks against the upstream, doubled with each further one.
const FIRST_REST: Duration = Duration::from_millis(150);
const LONGEST_REST: Duration = Duration::from_secs(2);
/// Requests without an answer, one after the other, from which the upstream rests.
const LOSSES_TO_REST: u32 = 3;
/// Time after a broken connection in which a refused one shows that the upstream has crashed.
const CRASH_TIME: Duration = Duration::from_secs(2);
/// Idle connections that are kept.
const MAX_IDLE: usize = 4;
/// Idle time after which a connection is not used again, below what upstreams commonly allow.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// What an upstream said of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// One life of an upstream, as this entry sees it.
#[derive(Debug)]
pub struct Upstream {
    /// What the platform's list says of it.
    pub listed: Listed,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    draining: bool,
    in_flight: u32,
    load: Option<Report>,
    losses: u32,
    rest: Duration,
    rests_until: Option<Instant>,
    /// Requests whose connections broke of late, and when.
    broken: SmallVec<[(u64, Instant); 4]>,
    silence: Silence,
    idle: Vec<Connection>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    at: Instant,
    /// Requests of this entry that the report counts.
    own: u32,
}

/// A request counted as in flight at an upstream until dropped.
#[derive(Debug)]
pub(super) struct InFlight {
    upstream: Arc<Upstream>,
    pulse: Arc<Pulse>,
}

impl InFlight {
    /// Takes in that the upstream has shown life.
    pub(super) fn heard(&self) {
        let alive = self.pulse.beat(Instant::now());
        self.upstream.lock().silence.heard(alive);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
        if state.in_flight == 0 {
            state.silence.emptied(self.pulse.alive(), Instant::now());
        }
    }
}

impl Load {
    /// Reads the three numbers of a load header.
    ///
    /// ```
    /// # use ebonyusher::direct::Load;
    /// let load = Load { running: 3, waiting: 0, slots: 8 };
    /// assert_eq!(Load::parse("3,0,8"), Some(load));
    /// assert_eq!(Load::parse("3,0"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
        let load =
            Self { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? };
        numbers.next().is_none().then_some(load)
    }
}

impl Upstream {
    /// An upstream that nothing is known of but its entry in the list.
    pub fn new(listed: Listed) -> Self {
        let state = State { draining: listed.draining, ..State::default() };
        Self { listed, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where it takes requests.
    pub const fn addr(&self) -> SocketAddr {
        self.listed.addr
    }

    /// Whether a line of the list speaks of this life of it.
    pub fn is_same_life(&self, listed: &Listed) -> bool {
        let known = &self.listed;
        known.addr == listed.addr && known.born == listed.born && known.service == listed.service
    }

    /// Takes in that it is leaving. That holds for this life.
    pub(super) fn drain(&self) {
        let mut state = self.lock();
        state.draining = true;
        state.idle.clear();
    }

    /// Whether new requests may go there.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Counts a request as in flight there.
    pub(super) fn enter(self: &Arc<Self>, pulse: &Arc<Pulse>) -> InFlight {
        let mut state = self.lock();
        state.in_flight += 1;
        state.silence.sent(pulse.alive());
        InFlight { upstream: Arc::clone(self), pulse: Arc::clone(pulse) }
    }

    /// Whether what may be repeated had better be moved from there.
    pub(super) fn is_stuck(&self, pulse: &Pulse) -> bool {
        self.lock().silence.is_stuck(pulse.alive())
    }

    /// Takes in what an answer said of its load.
    pub(super) fn report(&self, load: Load) {
        let mut state = self.lock();
        let own = state.in_flight;
        state.load = Some(Report { load, at: Instant::now(), own });
    }

    /// Takes in a sound answer.
    pub(super) fn answered(&self) {
        let mut state = self.lock();
        state.losses = 0;
        state.rest = Duration::ZERO;
        state.rests_until = None;
    }

    /// Takes in that it can't be reached, or takes nothing at present.
    pub(super) fn refused(&self) {
        self.lock().begin_rest();
    }

    /// Takes in that a request got no sound answer.
    pub(super) fn lost(&self) {
        let mut state = self.lock();
        state.losses += 1;
        if state.losses >= LOSSES_TO_REST {
            state.begin_rest();
        }
    }

    /// Takes in that the connection of a request broke while it ran.
    pub(super) fn broke(&self, print: u64) {
        let now = Instant::now();
        let mut state = self.lock();
        state.broken.retain(|(_, at)| now.saturating_duration_since(*at) < CRASH_TIME);
        state.broken.push((print, now));
    }

    /// Takes the requests whose connections broke until just before. If it now takes no connections,
    /// it has crashed while it ran them.
    pub(super) fn take_broken(&self) -> SmallVec<[(u64, Instant); 4]> {
        let now = Instant::now();
        let mut broken = std::mem::take(&mut self.lock().broken);
        broken.retain(|(_, at)| now.saturating_duration_since(*at) < CRASH_TIME);
        broken
    }

    /// What choosing looks at.
    pub fn view(&self, pulse: &Pulse, now: Instant) -> View {
        let state = self.lock();
        let silent_until = state.silence.rests_until(pulse.alive(), now);
        View {
            own: state.in_flight,
            others: state.load.map(|report| report.others(now)),
            rests_until: state.rests_until.filter(|until| *until > now).max(silent_until),
        }
    }

    /// Takes a connection that may be used again.
    pub(super) fn take_idle(&self) -> Option<Connection> {
        let mut state = self.lock();
        state.idle.retain(|conn| conn.is_usable(MAX_IDLE_TIME));
        state.idle.pop()
    }

    /// Keeps a connection for later requests.
    pub(super) fn put_idle(&self, conn: Connection) {
        let mut state = self.lock();
        state.idle.retain(|conn| conn.is_usable(MAX_IDLE_TIME));
        if !state.draining && state.idle.len() < MAX_IDLE {
            state.idle.push(conn);
        }
    }
}

impl State {
    fn begin_rest(&mut self) {
        self.rest = (self.rest * 2).clamp(FIRST_REST, LONGEST_REST);
        self.rests_until = Some(Instant::now() + self.rest);
        self.losses = 0;
    }
}

impl Report {
    /// What the report says of other entries' requests.
    fn others(&self, now: Instant) -> OthersReport {
        let reported = self.load.running + self.load.waiting;
        OthersReport {
            requests: f64::from(reported.saturating_sub(self.own)),
            age: now.saturating_duration_since(self.at),
        }
    }
}
