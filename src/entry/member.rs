use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Candidate;
use crate::id::{AttemptId, Incarnation};
use crate::peer::{LinkReport, Load};
use crate::platform::Instance;

/// Age at which a report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(4);
/// Prompt prefixes remembered for each upstream.
const MAX_PREFIXES: usize = 512;

/// One upstream that this entry may send to, reached through its sidecar.
#[derive(Debug)]
pub struct Member {
    /// Line of the platform's list.
    pub instance: Instance,
    /// Distance of its failure domain.
    pub distance: usize,
    state: Mutex<State>,
}

/// What is known of a member, for operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the instance.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether the link is open.
    pub linked: bool,
    /// Whether the upstream accepts connections.
    pub up: bool,
    /// Whether it takes nothing new.
    pub leaving: bool,
    /// Revision of the settings in force there.
    pub revision: u64,
    /// Last load report.
    pub load: Load,
    /// This entry's requests in flight there.
    pub in_flight: u32,
}

#[derive(Debug, Default)]
struct State {
    incarnation: Option<Incarnation>,
    linked: bool,
    up: bool,
    leaving: bool,
    listed_leaving: bool,
    revision: u64,
    load: Load,
    load_at: Option<Instant>,
    /// Own requests in flight, by attempt, with their fingerprints.
    own_requests: HashMap<AttemptId, u64>,
    /// Own requests in flight when the last report came.
    own_at_report: u32,
    /// Cancelled when the present link is lost.
    link_token: CancellationToken,
    prefixes: HashSet<u64>,
    prefix_order: VecDeque<u64>,
}

impl Member {
    /// A member that has no link yet.
    pub fn new(instance: Instance, distance: usize) -> Self {
        Self { instance, distance, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a note of the sidecar. Leaving lasts for an incarnation unless the sidecar itself
    /// takes it back.
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

    /// Takes in a load report that came with an answer. Late reports are dropped.
    pub fn update_load(&self, load: Load) {
        self.lock().apply_load(load);
    }

    /// Says that the link is lost, and gives the requests that were in flight on it.
    pub fn unlink(&self) -> (Option<Incarnation>, SmallVec<[u64; 8]>) {
        let mut state = self.lock();
        state.linked = false;
        state.link_token.cancel();
        (state.incarnation, state.own_requests.values().copied().collect())
    }

    /// Says that the upstream takes nothing new, as one of its refusals tells.
    pub fn mark_unavailable(&self, leaving: bool) {
        let mut state = self.lock();
        if leaving {
            state.leaving = true;
        } else {
            state.up = false;
        }
    }

    /// Says that the platform's list has it as leaving.
    pub fn mark_listed_leaving(&self) {
        self.lock().listed_leaving = true;
    }

    /// Whether new requests may go there.
    pub fn is_candidate(&self) -> bool {
        let state = self.lock();
        state.linked && state.up && !state.leaving && !state.listed_leaving
    }

    /// Whether the link is open.
    pub fn is_linked(&self) -> bool {
        self.lock().linked
    }

    /// Cancelled when the present link is lost.
    pub fn link_token(&self) -> CancellationToken {
        self.lock().link_token.clone()
    }

    /// The sidecar's life that the last note came from.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.lock().incarnation
    }

    /// Revision of the settings in force there, as last told.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Counts a request as in flight there, and its prompt prefix as cached.
    pub fn start_attempt(&self, attempt: AttemptId, fingerprint: u64, prefix: Option<u64>) {
        let mut state = self.lock();
        state.own_requests.insert(attempt, fingerprint);
        if let Some(prefix) = prefix {
            state.add_prefix(prefix);
        }
    }

    /// Counts a request as ended.
    pub fn end_attempt(&self, attempt: AttemptId) {
        let mut state = self.lock();
        state.own_requests.remove(&attempt);
        state.own_at_report = state.own_at_report.min(state.in_flight());
    }

    /// What a policy sees of it.
    pub fn candidate(&self, prefix: Option<u64>, now: Instant) -> Candidate {
        let state = self.lock();
        Candidate {
            occupancy: state.occupancy(now),
            in_flight: state.in_flight(),
            distance: self.distance,
            cached: prefix.is_some_and(|prefix| state.prefixes.contains(&prefix)),
        }
    }

    /// What operators see of it.
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

    /// Expected requests over slots: the aged report, and what this entry sent since.
    fn occupancy(&self, now: Instant) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let age = self.load_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
        let reported = f64::from(self.load.running + self.load.waiting);
        let own_in_flight = f64::from(self.in_flight());
        let others = (reported - f64::from(self.own_at_report)).max(0.0);
        (others * weight + own_in_flight) / slots
    }

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
