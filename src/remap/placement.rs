use smallvec::SmallVec;

use super::HeldExperts;

/// Limits on a change of the map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementLimits {
    /// Max number of experts of a set that a rank holds.
    pub places: usize,
    /// Max number of experts of a set that one map may add to a rank.
    pub spare: usize,
    /// Reduction of a set's skew that each copied expert must bring.
    pub copy_cost: f64,
}

/// A changed map of one set, its cost and its effect.
#[derive(Clone, Debug, PartialEq)]
pub struct SetPlacement {
    /// Held experts by rank.
    pub ranks: Vec<HeldExperts>,
    /// Number of experts that ranks must copy.
    pub copies: usize,
    /// Skew under the present map: load of the most loaded rank over the mean load.
    pub before: f64,
    /// The same under the changed map.
    pub after: f64,
}

/// Number of least loaded ranks that are considered for taking an expert.
const COLD_RANKS: usize = 8;
/// Max changes of one set in one plan.
const MAX_CHANGES: usize = 40;
/// Exponent of the loads in the sum that changes of the map are to reduce: high, so that the most
/// loaded ranks dominate.
const LOAD_EXPONENT: i32 = 8;

/// Improves one set's map by copying few experts. `demand` is the share of tokens of each expert.
///
/// ```
/// # use ebonyusher::remap::{HeldExperts, PlacementLimits, improve_set};
/// let ranks: Vec<HeldExperts> = serde_json::from_str("[[0, 1], [2, 3]]").unwrap();
/// let limits = PlacementLimits { places: 3, spare: 2, copy_cost: 0.01 };
/// let better = improve_set(&ranks, &[8.0, 8.0, 1.0, 1.0], &limits);
/// assert!(better.before > 1.7 && better.after < 1.2);
/// ```
pub fn improve_set(
    ranks: &[HeldExperts],
    demand: &[f64],
    limits: &PlacementLimits,
) -> SetPlacement {
    SetOptimizer::new(ranks, demand).improve(limits)
}

/// Working state while one set's map is improved.
struct SetOptimizer<'a> {
    ranks: Vec<HeldExperts>,
    demand: &'a [f64],
    /// Ranks that hold each expert.
    holders: Vec<SmallVec<[u16; 4]>>,
    /// Load of each rank.
    loads: Vec<f64>,
    /// Number of experts copied to each rank so far.
    added: Vec<usize>,
    /// Mean load of a rank.
    mean: f64,
}

/// A change of one set's map.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A rank copies an expert. If the rank is full, it evicts one that other ranks hold too.
    Copy { expert: u16, to: usize, evicted: Option<u16> },
    /// An expert moves from one rank to another.
    Move { expert: u16, from: usize, to: usize },
    /// Two ranks exchange experts.
    Swap { expert: u16, from: usize, other: u16, to: usize },
}

/// Load changes of a few ranks.
type LoadChanges = SmallVec<[(usize, f64); 16]>;

impl Change {
    const fn copies(self) -> usize {
        match self {
            Self::Copy { .. } | Self::Move { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

impl<'a> SetOptimizer<'a> {
    fn new(ranks: &[HeldExperts], demand: &'a [f64]) -> Self {
        let mut holders = vec![SmallVec::new(); demand.len()];
        for (rank, held) in ranks.iter().enumerate() {
            for expert in held {
                holders[usize::from(*expert)].push(u16::try_from(rank).unwrap_or(u16::MAX));
            }
        }
        let mut work = Self {
            ranks: ranks.to_vec(),
            demand,
            holders,
            loads: Vec::new(),
            added: vec![0; ranks.len()],
            mean: demand.iter().sum::<f64>() / ranks.len().max(1) as f64,
        };
        let load =
            |held: &HeldExperts| held.iter().map(|expert| work.load_per_holder(*expert, 0)).sum();
        work.loads = work.ranks.iter().map(load).collect();
        work
    }

    /// Load of an expert on each rank that holds it if the number of its holders changed by `more`.
    fn load_per_holder(&self, expert: u16, more: i32) -> f64 {
        let expert = usize::from(expert);
        let holders = i32::try_from(self.holders[expert].len()).unwrap_or(i32::MAX) + more;
        self.demand[expert] / f64::from(holders.max(1))
    }

    fn skew(&self) -> f64 {
        let max = self.loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { max / self.mean } else { 1.0 }
    }

    /// Applies the best changes one by one, and returns the map at which the sum of the skew and
    /// the cost of the copies was least.
    fn improve(mut self, limits: &PlacementLimits) -> SetPlacement {
        let before = self.skew();
        let mut best = SetPlacement { ranks: self.ranks.clone(), copies: 0, before, after: before };
        let mut copies = 0;
        for _ in 0..MAX_CHANGES {
            let Some(change) = self.best_change(limits) else { break };
            self.apply(change);
            copies += change.copies();
            let value = |skew: f64, copies: usize| skew + limits.copy_cost * copies as f64;
            if value(self.skew(), copies) < value(best.after, best.copies) {
                best =
                    SetPlacement { ranks: self.ranks.clone(), copies, before, after: self.skew() };
            }
        }
        best
    }

    fn best_change(&self, limits: &PlacementLimits) -> Option<Change> {
        if self.mean <= 0.0 {
            return None;
        }
        let mut by_load: Vec<usize> = (0..self.loads.len()).collect();
        by_load.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        let hot = *by_load.last()?;
        let cold = by_load.into_iter().take(COLD_RANKS).filter(|rank| *rank != hot);
        let mut best: Option<(f64, Change)> = None;
        for to in cold {
            for expert in &self.ranks[hot] {
                self.for_each_change(*expert, hot, to, limits, &mut |change| {
                    let gain = self.gain(change) / change.copies() as f64;
                    if gain > 0.0 && best.is_none_or(|(max, _)| gain > max) {
                        best = Some((gain, change));
                    }
                });
            }
        }
        best.map(|(_, change)| change)
    }

    /// Passes to `offer` every change that shifts load of an expert from one rank to another.
    fn for_each_change(
        &self,
        expert: u16,
        from: usize,
        to: usize,
        limits: &PlacementLimits,
        offer: &mut impl FnMut(Change),
    ) {
        let held_by_target = &self.ranks[to];
        if held_by_target.contains(&expert) || self.added[to] >= limits.spare {
            return;
        }
        if held_by_target.len() < limits.places {
            offer(Change::Copy { expert, to, evicted: None });
            offer(Change::Move { expert, from, to });
        } else {
            let evictable =
                held_by_target.iter().filter(|held| self.holders[usize::from(**held)].len() > 1);
            evictable.for_each(|held| offer(Change::Copy { expert, to, evicted: Some(*held) }));
        }
        if self.added[from] < limits.spare {
            let returnable =
                held_by_target.iter().filter(|other| !self.ranks[from].contains(other));
            returnable.for_each(|other| offer(Change::Swap { expert, from, other: *other, to }));
        }
    }

    /// Reduction of the sum of powers of the loads.
    fn gain(&self, change: Change) -> f64 {
        let power = |load: f64| (load / self.mean).powi(LOAD_EXPONENT);
        let changes = self.load_changes(change);
        changes
            .iter()
            .map(|(rank, by)| power(self.loads[*rank]) - power(self.loads[*rank] + by))
            .sum()
    }

    /// Load changes that a change of the map causes.
    fn load_changes(&self, change: Change) -> LoadChanges {
        let mut changes = LoadChanges::new();
        match change {
            Change::Copy { expert, to, evicted } => {
                self.respread(expert, 1, None, &mut changes);
                add(&mut changes, to, self.load_per_holder(expert, 1));
                if let Some(evicted) = evicted {
                    self.respread(evicted, -1, Some(to), &mut changes);
                    add(&mut changes, to, -self.load_per_holder(evicted, 0));
                }
            }
            Change::Move { expert, from, to } => self.move_load(expert, from, to, &mut changes),
            Change::Swap { expert, from, other, to } => {
                self.move_load(expert, from, to, &mut changes);
                self.move_load(other, to, from, &mut changes);
            }
        }
        changes
    }

    /// Adds the load changes of moving an expert.
    fn move_load(&self, expert: u16, from: usize, to: usize, changes: &mut LoadChanges) {
        let load = self.load_per_holder(expert, 0);
        add(changes, from, -load);
        add(changes, to, load);
    }

    /// Adds the load changes of an expert's holders, except `without`, if their number changes by
    /// `more`.
    fn respread(&self, expert: u16, more: i32, without: Option<usize>, changes: &mut LoadChanges) {
        let by = self.load_per_holder(expert, more) - self.load_per_holder(expert, 0);
        let ranks = self.holders[usize::from(expert)].iter().map(|rank| usize::from(*rank));
        ranks.filter(|rank| Some(*rank) != without).for_each(|rank| add(changes, rank, by));
    }

    fn apply(&mut self, change: Change) {
        for (rank, by) in self.load_changes(change) {
            self.loads[rank] += by;
        }
        match change {
            Change::Copy { expert, to, evicted } => {
                if let Some(evicted) = evicted {
                    self.remove_expert(evicted, to);
                }
                self.add_expert(expert, to);
            }
            Change::Move { expert, from, to } => {
                self.remove_expert(expert, from);
                self.add_expert(expert, to);
            }
            Change::Swap { expert, from, other, to } => {
                self.remove_expert(expert, from);
                self.remove_expert(other, to);
                self.add_expert(expert, to);
                self.add_expert(other, from);
            }
        }
    }

    fn add_expert(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(u16::try_from(rank).unwrap_or(u16::MAX));
        self.added[rank] += 1;
    }

    fn remove_expert(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|held| usize::from(*held) != rank);
    }
}

fn add(changes: &mut LoadChanges, rank: usize, by: f64) {
    match changes.iter_mut().find(|(known, _)| *known == rank) {
        Some((_, sum)) => *sum += by,
        None => changes.push((rank, by)),
    }
}
