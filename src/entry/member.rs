use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Candidate, CrashKeys};
use crate::id::{AttemptId, Incarnation};
use crate::peer::{LinkReport, Load};
use crate::platform::Instance;

/// Age at which a load report has half its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(4);
/// Maximum number of cached prompt prefixes remembered for each upstream.
const MAX_PREFIXES: usize = 512;

/// One upstream that this entry may send to, reached through its sidecar.
#[derive(Debug)]
pub struct Member {
    /// The instance as the platform listed it when the member was created.
    pub instance: Instance,
    /// Distance of its failure domain, 0 for the entry's own.
    pub distance: usize,
    state: Mutex<State>,
}

/// Status of a member as the admin API reports it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the instance.
    pub name: String,
    /// Service that it serves, as `team/service`.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether the link is open.
    pub linked: bool,
    /// Whether the upstream accepts connections.
    pub up: bool,
    /// Whether it accepts no new requests because it is leaving or drained.
    pub leaving: bool,
    /// Revision of the settings in force in its sidecar.
    pub revision: u64,
    /// Last load report.
    pub load: Load,
    /// Requests of this entry in flight at the upstream.
    pub in_flight: u32,
}

#[derive(Debug, Default)]
struct State {
    /// Incarnation of the sidecar that sent the last report.
    incarnation: Option<Incarnation>,
    linked: bool,
    up: bool,
    leaving: bool,
    /// Whether the platform's list has it as leaving.
    listed_leaving: bool,
    revision: u64,
    load: Load,
    load_at: Option<Instant>,
    /// This entry's requests in flight, by attempt.
    own_requests: HashMap<AttemptId, CrashKeys>,
    /// Number of this entry's requests in flight that the last load report already counts.
    own_at_report: u32,
    /// Cancelled when the current link is lost.
    link_token: CancellationToken,
    /// Prompt prefixes assumed to be cached by the upstream.
    prefixes: HashSet<u64>,
    /// The same prefixes, oldest first.
    prefix_order: VecDeque<u64>,
}

impl Member {
    /// Creates a member that has no link yet.
    pub fn new(instance: Instance, distance: usize) -> Self {
        Self { instance, distance, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a report of the sidecar. A member that the platform lists as leaving stays marked
    /// for the rest of its incarnation; the sidecar's own leaving flag is taken from each report.
    pub fn apply_report(&self, report: &LinkReport) {
        let mut state = self.lock();
        if state.incarnation != Some(report.from) {
            state.incarnation = Some(report.from);
            state.load = Load::default();
            state.listed_leaving = false;
            state.prefixes.clear();
            state.prefix_order.clear();
        }
        if !state.linked {
            state.linked = true;
            state.link_token = CancellationToken::new();
        }
        state.up = report.up;
        state.leaving = report.leaving;
        state.revision = report.revision;
        state.apply_load(report.load);
        report.cached.iter().for_each(|prefix| state.add_prefix(*prefix));
        report.evicted.iter().for_each(|prefix| state.remove_prefix(*prefix));
    }

    /// Applies a load report from a response header. Reports older than the last one are dropped.
    pub fn update_load(&self, load: Load) {
        self.lock().apply_load(load);
    }

    /// Records that the link is lost, and returns the sidecar's incarnation and the requests in
    /// flight.
    pub fn unlink(&self) -> (Option<Incarnation>, SmallVec<[CrashKeys; 2]>) {
        let mut state = self.lock();
        state.linked = false;
        state.link_token.cancel();
        (state.incarnation, state.own_requests.values().cloned().collect())
    }

    /// Records that a response refused a request because the instance is leaving if `leaving` is
    /// set, otherwise because its upstream is down.
    pub fn mark_unavailable(&self, leaving: bool) {
        let mut state = self.lock();
        if leaving {
            state.leaving = true;
        } else {
            state.up = false;
        }
    }

    /// Records that the platform's list has it as leaving.
    pub fn mark_listed_leaving(&self) {
        self.lock().listed_leaving = true;
    }

    /// Whether new requests may be sent to it.
    pub fn is_candidate(&self) -> bool {
        let state = self.lock();
        state.linked && state.up && !state.leaving && !state.listed_leaving
    }

    /// Whether the link is open.
    pub fn is_linked(&self) -> bool {
        self.lock().linked
    }

    /// Returns a token that is cancelled when the current link is lost.
    pub fn link_token(&self) -> CancellationToken {
        self.lock().link_token.clone()
    }

    /// Incarnation of the sidecar that sent the last report.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.lock().incarnation
    }

    /// Last reported revision of the settings in force in its sidecar.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Counts an attempt as in flight, and its prompt prefix as cached.
    pub fn start_attempt(&self, attempt: AttemptId, keys: &CrashKeys, prefix: Option<u64>) {
        let mut state = self.lock();
        state.own_requests.insert(attempt, keys.clone());
        if let Some(prefix) = prefix {
            state.add_prefix(prefix);
        }
    }

    /// Counts an attempt as ended.
    pub fn end_attempt(&self, attempt: AttemptId) {
        let mut state = self.lock();
        state.own_requests.remove(&attempt);
        state.own_at_report = state.own_at_report.min(state.in_flight());
    }

    /// Returns what a routing policy needs to know of it.
    pub fn candidate(&self, prefix: Option<u64>, now: Instant) -> Candidate {
        let state = self.lock();
        Candidate {
            occupancy: state.occupancy(now),
            in_flight: state.in_flight(),
            distance: self.distance,
            cached: prefix.is_some_and(|prefix| state.prefixes.contains(&prefix)),
        }
    }

    /// Returns its status for operators.
    pub fn status(&self) -> MemberStatus {
        let state = self.lock();
        MemberStatus {
            name: self.instance.name.clone(),
            service: self.instance.service.clone(),
            domain: self.instance.domain.clone(),
            linked: state.linked,
            up: state.up,
            leaving: state.leaving || state.listed_leaving,
            revision: state.revision,
            load: state.load,
            in_flight: state.in_flight(),
        }
    }
}

impl State {
    fn in_flight(&self) -> u32 {
        u32::try_from(self.own_requests.len()).unwrap_or(u32::MAX)
    }

    fn apply_load(&mut self, load: Load) {
        if load.seq <= self.load.seq {
            return;
        }
        self.load = load;
        self.load_at = Some(Instant::now());
        self.own_at_report = self.in_flight();
    }

    /// Returns the expected number of requests per slot: this entry's own requests in flight, and
    /// those of other entries from the last report, weighted down by its age.
    fn occupancy(&self, now: Instant) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let age = self.load_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
        let reported = f64::from(self.load.running + self.load.waiting);
        let own_in_flight = f64::from(self.in_flight());
        let others = (reported - f64::from(self.own_at_report)).max(0.0);
        (others * weight + own_in_flight) / slots
    }

    /// Adds a prefix, and drops the oldest one beyond [`MAX_PREFIXES`].
    fn add_prefix(&mut self, prefix: u64) {
        if !self.prefixes.insert(prefix) {
            return;
        }
        self.prefix_order.push_back(prefix);
        if self.prefix_order.len() > MAX_PREFIXES {
            let oldest = self.prefix_order.pop_front();
            oldest.into_iter().for_each(|prefix| {
                self.prefixes.remove(&prefix);
            });
        }
    }

    fn remove_prefix(&mut self, prefix: u64) {
        if self.prefixes.remove(&prefix) {
            self.prefix_order.retain(|other| *other != prefix);
        }
    }
}
