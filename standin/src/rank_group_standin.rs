use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyusher::membership::GroupName;
use ebonyusher::remap::{Armed, HeldExperts, RankCommand, RankError, RankOrder, RankState};
use tokio::time::{Instant, sleep};

/// A simulated group of ranks that run in lock-step and take orders. It records each pass that
/// begins while two ranks have maps that differ by version or content.
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
    /// Time for which a rank copies the experts of a map.
    copy_time: Duration,
    /// Passes that began while two ranks had different maps.
    split_passes: Vec<u64>,
}

/// A map by its version and the digest of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct VersionedMap {
    version: u64,
    digest: u64,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    fence: u64,
    map: VersionedMap,
    prepared: Option<Prepared>,
    /// Greatest version that was ever prepared.
    max_prepared: u64,
    armed: Option<Armed>,
    /// Pass that must not begin until it is released.
    held: Option<u64>,
    history: Vec<PastState>,
}

/// A map whose experts a rank copies or has copied.
#[derive(Clone, Copy, Debug)]
struct Prepared {
    map: VersionedMap,
    /// When the copy is complete. Before that the rank does not report it.
    ready: Instant,
}

/// A state of a rank that began at some time.
#[derive(Clone, Debug)]
struct PastState {
    since: Instant,
    state: RankState,
    /// When its prepared map is ready.
    ready: Option<Instant>,
}

impl PastState {
    /// The state as the rank reports it at a time.
    fn report(&self, at: Instant) -> RankState {
        let mut state = self.state.clone();
        state.prepared = state.prepared.filter(|_| self.ready.is_some_and(|ready| ready <= at));
        state
    }
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
            copy_time: Duration::ZERO,
            split_passes: Vec::new(),
        };
        let group = Self { state: Arc::new(Mutex::new(state)) };
        group.lock().record_states();
        group
    }

    /// Has ranks take some time to copy the experts of a map.
    #[must_use]
    pub fn with_copy_time(self, copy_time: Duration) -> Self {
        self.lock().copy_time = copy_time;
        self
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

    /// Replaces all ranks by new ones that remember nothing: they have map 0 and know no fencing
    /// token. The group is in the next epoch and runs.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.epoch += 1;
        state.ranks.iter_mut().for_each(|rank| *rank = Rank::default());
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

    /// Returns the next pass that a rank holds the group before or is armed for, if there is one.
    pub fn next_marked_pass(&self) -> Option<u64> {
        let state = self.lock();
        let marked = |rank: &Rank| [rank.held, rank.armed.map(|armed| armed.pass)];
        let marked = state.ranks.iter().flat_map(marked).flatten();
        marked.filter(|pass| *pass > state.pass).min()
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
                let prepared = rank.prepared.take().map(|prepared| prepared.map);
                rank.map = prepared.unwrap_or(VersionedMap { version: armed.version, digest: 0 });
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

    /// Returns the number of ranks.
    pub fn size(&self) -> usize {
        self.lock().ranks.len()
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
        let now = Instant::now();
        let at = now.checked_sub(lag).unwrap_or(now);
        let history = &state.ranks[rank].history;
        let past = history.iter().rev().find(|past| past.since <= at).or(history.first());
        past.map_or_else(|| state.report(rank), |past| past.report(at))
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
        let ready = Instant::now() + state.copy_time;
        let member = &mut state.ranks[rank];
        if command.epoch != epoch || !open {
            return Err(RankError::Refused);
        }
        if command.fence < member.fence {
            return Err(RankError::Fenced);
        }
        member.apply(&command.order, pass, ready)?;
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
            map: member.map.version,
            prepared: member.prepared.map(|prepared| prepared.map.version),
            armed: member.armed,
            held: member.held,
            running: 1,
            lag_ms: 0,
        }
    }

    fn record_states(&mut self) {
        let now = Instant::now();
        for rank in 0..self.ranks.len() {
            let state = self.report(rank);
            let ready = self.ranks[rank].prepared.map(|prepared| prepared.ready);
            self.ranks[rank].history.push(PastState { since: now, state, ready });
        }
    }
}

impl Rank {
    fn apply(&mut self, order: &RankOrder, pass: u64, ready: Instant) -> Result<(), RankError> {
        let accepted = match order {
            RankOrder::Prepare { version, map } => {
                let map = VersionedMap { version: *version, digest: map.digest() };
                self.prepare(Prepared { map, ready })
            }
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

    fn prepare(&mut self, prepared: Prepared) -> bool {
        if self.prepared.is_some_and(|known| known.map == prepared.map) {
            return true;
        }
        let version = prepared.map.version;
        let accepted = version > self.max_prepared && self.armed.is_none();
        if accepted {
            self.prepared = Some(prepared);
            self.max_prepared = version;
        }
        accepted
    }

    fn arm(&mut self, version: u64, at: u64, pass: u64) -> bool {
        let now = Instant::now();
        let is_ready = |known: Prepared| known.map.version == version && known.ready <= now;
        let accepted = self.prepared.is_some_and(is_ready) && at > pass;
        if accepted {
            self.armed = Some(Armed { version, pass: at });
        }
        accepted
    }

    /// Disarms a version, and returns whether it is not in use already.
    fn disarm(&mut self, version: u64) -> bool {
        self.armed.take_if(|armed| armed.version == version);
        self.map.version != version
    }

    fn hold(&mut self, at: u64, pass: u64) -> bool {
        let accepted = at > pass && self.held.is_none_or(|held| held == at);
        if accepted {
            self.held = Some(at);
        }
        accepted
    }
}
