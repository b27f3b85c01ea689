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
    name: GroupName,
    epoch: u64,
    /// Whether the group runs. It does not while it forms a new epoch.
    open: bool,
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

impl RankGroupStandin {
    /// Creates a group of `ranks` ranks without a name, all with map 0, in epoch 1.
    pub fn new(ranks: usize) -> Self {
        Self::named("", 1, ranks)
    }

    /// Creates a group with a name, in an epoch.
    pub fn named(name: &str, epoch: u64, ranks: usize) -> Self {
        let state = State {
            name: name.into(),
            epoch,
            open: true,
            pass: 0,
            ranks: vec![Rank::default(); ranks],
            split_passes: Vec::new(),
        };
        let group = Self { state: Arc::new(Mutex::new(state)) };
        group.lock().record_states();
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to form the next epoch. The group does not run until [`Self::open`]. Unfinished
    /// switches are dropped; the map stays.
    pub fn reform(&self) {
        let mut state = self.lock();
        state.epoch += 1;
        state.open = false;
        let map = state.ranks[0].map;
        for rank in &mut state.ranks {
            let (fence, max_prepared) = (rank.fence, rank.max_prepared);
            let history = std::mem::take(&mut rank.history);
            *rank = Rank { fence, map, max_prepared, history, ..Rank::default() };
        }
        state.record_states();
    }

    /// Lets the group run after [`Self::reform`].
    pub fn open(&self) {
        let mut state = self.lock();
        state.open = true;
        state.record_states();
    }

    /// Returns the fencing token that a rank knows.
    pub fn fence(&self, rank: usize) -> u64 {
        self.lock().ranks[rank].fence
    }

    /// Replaces the fencing token that a rank knows, as if another process had become this rank.
    pub fn set_fence(&self, rank: usize, fence: u64) {
        self.lock().ranks[rank].fence = fence;
    }

    /// Begins the next pass unless a rank holds it or the group does not run, and returns whether
    /// it began.
    pub fn begin_pass(&self) -> bool {
        let mut state = self.lock();
        let next = state.pass + 1;
        if !state.open {
            return false;
        }
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
        let (pass, epoch, open) = (state.pass, state.epoch, state.open);
        let member = &mut state.ranks[rank];
        if command.epoch != epoch || !open {
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
            group: self.name.clone(),
            rank,
            size: self.ranks.len(),
            epoch: self.epoch,
            open: self.open,
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
