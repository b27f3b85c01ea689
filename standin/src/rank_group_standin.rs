use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyusher::membership::GroupName;
use ebonyusher::remap::{Armed, HeldExperts, RankCommand, RankError, RankOrder, RankState};
use tokio::time::{Instant, sleep};

/// A simulated group of ranks that run in lock-step and take orders. It records each pass that
/// begins while two ranks have different maps.
#[derive(Clone, Debug)]
pub struct RankGroupStandin {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    pass: u64,
    ranks: Vec<Rank>,
    /// Passes that began while two ranks had different maps.
    split_passes: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    fence: u64,
    map: u64,
    prepared: Option<u64>,
    /// Greatest version that was ever prepared.
    max_prepared: u64,
    armed: Option<Armed>,
    /// Pass that must not begin until it is released.
    held: Option<u64>,
    /// States that the rank reported, each with the time at which it began.
    history: Vec<(Instant, RankState)>,
}

/// The only epoch of the group.
const EPOCH: u64 = 1;

impl RankGroupStandin {
    /// Creates a group of `ranks` ranks, all with map 0.
    pub fn new(ranks: usize) -> Self {
        let state =
            State { pass: 0, ranks: vec![Rank::default(); ranks], split_passes: Vec::new() };
        let group = Self { state: Arc::new(Mutex::new(state)) };
        group.lock().record_states();
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the next pass unless a rank holds it, and returns whether it began.
    pub fn begin_pass(&self) -> bool {
        let mut state = self.lock();
        let next = state.pass + 1;
        if state.ranks.iter().any(|rank| rank.held == Some(next)) {
            return false;
        }
        state.pass = next;
        for rank in &mut state.ranks {
            if let Some(armed) = rank.armed.take_if(|armed| armed.pass == next) {
                rank.map = armed.version;
                rank.prepared = None;
            }
        }
        let map = state.ranks[0].map;
        if state.ranks.iter().any(|rank| rank.map != map) {
            state.split_passes.push(next);
        }
        state.record_states();
        true
    }

    /// Spawns a task that begins a pass at each interval.
    pub fn run_passes(&self, interval: Duration) {
        let group = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(interval).await;
                group.begin_pass();
            }
        });
    }

    /// Returns the last pass that has begun.
    pub fn pass(&self) -> u64 {
        self.lock().pass
    }

    /// Returns the passes that began while two ranks had different maps.
    pub fn split_passes(&self) -> Vec<u64> {
        self.lock().split_passes.clone()
    }

    /// Returns the state of a rank as it was `lag` ago, or the oldest one.
    pub fn state(&self, rank: usize, lag: Duration) -> RankState {
        let state = self.lock();
        let at = Instant::now().checked_sub(lag);
        let history = &state.ranks[rank].history;
        let state_then =
            history.iter().rev().find(|(since, _)| Some(*since) <= at).or(history.first());
        state_then.map_or_else(|| state.report(rank), |(_, report)| report.clone())
    }

    /// Returns no experts: the maps of this group differ only by version.
    pub fn held(&self, _rank: usize) -> Vec<HeldExperts> {
        Vec::new()
    }

    /// Applies an order to a rank.
    ///
    /// # Errors
    /// [`RankError::Refused`] if the epoch or the state of the rank does not allow the order, and
    /// [`RankError::Fenced`] if its fencing token is old.
    pub fn apply(&self, rank: usize, command: &RankCommand) -> Result<(), RankError> {
        let mut state = self.lock();
        let pass = state.pass;
        let member = &mut state.ranks[rank];
        if command.epoch != EPOCH {
            return Err(RankError::Refused);
        }
        if command.fence < member.fence {
            return Err(RankError::Fenced);
        }
        member.apply(&command.order, pass)?;
        member.fence = command.fence;
        state.record_states();
        Ok(())
    }
}

impl State {
    fn report(&self, rank: usize) -> RankState {
        let member = &self.ranks[rank];
        RankState {
            group: GroupName::default(),
            rank,
            size: self.ranks.len(),
            epoch: EPOCH,
            open: true,
            pass: self.pass,
            map: member.map,
            prepared: member.prepared,
            armed: member.armed,
            held: member.held,
            running: 1,
            lag_ms: 0,
        }
    }

    fn record_states(&mut self) {
        let now = Instant::now();
        for rank in 0..self.ranks.len() {
            let report = self.report(rank);
            self.ranks[rank].history.push((now, report));
        }
    }
}

impl Rank {
    fn apply(&mut self, order: &RankOrder, pass: u64) -> Result<(), RankError> {
        let accepted = match order {
            RankOrder::Prepare { version, .. } => self.prepare(*version),
            RankOrder::Arm { version, pass: at } => self.arm(*version, *at, pass),
            RankOrder::Disarm { version } => self.disarm(*version),
            RankOrder::Fence => true,
            RankOrder::Hold { pass: at } => self.hold(*at, pass),
            RankOrder::Release { pass: at } => {
                self.held.take_if(|held| held == at);
                true
            }
        };
        if accepted { Ok(()) } else { Err(RankError::Refused) }
    }

    fn prepare(&mut self, version: u64) -> bool {
        if self.prepared == Some(version) {
            return true;
        }
        let accepted = version > self.max_prepared && self.armed.is_none();
        if accepted {
            self.prepared = Some(version);
            self.max_prepared = version;
        }
        accepted
    }

    fn arm(&mut self, version: u64, at: u64, pass: u64) -> bool {
        let accepted = self.prepared == Some(version) && at > pass;
        if accepted {
            self.armed = Some(Armed { version, pass: at });
        }
        accepted
    }

    /// Disarms a version, and returns whether it is not in use already.
    fn disarm(&mut self, version: u64) -> bool {
        self.armed.take_if(|armed| armed.version == version);
        self.map != version
    }

    fn hold(&mut self, at: u64, pass: u64) -> bool {
        let accepted = at > pass && self.held.is_none_or(|held| held == at);
        if accepted {
            self.held = Some(at);
        }
        accepted
    }
}
