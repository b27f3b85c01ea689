use super::{GroupMap, Held};

/// Bounds of a change of the map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementLimits {
    /// Experts of a set that a rank holds at most.
    pub places: usize,
    /// Experts of a set that one map may add to a rank.
    pub spare: usize,
    /// Fall of a set's skew that one copied expert must bring.
    pub copy_cost: f64,
}

/// A changed map, and what it changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The map.
    pub map: GroupMap,
    /// Experts that ranks have to copy.
    pub copies: usize,
    /// Load of the most loaded rank over the mean, averaged over the sets, under the present map.
    pub before: f64,
    /// The same under the changed map.
    pub after: f64,
}

/// Least loaded ranks that may take an expert.
const COLD_RANKS: usize = 8;
/// Most changes of one set in one plan.
const MAX_CHANGES: usize = 24;
/// Power by which loads are summed up: high, so that the most loaded ranks count.
const POWER: i32 = 8;

/// Improves a map by copying few experts. `demand` gives the tokens of each expert of a set.
///
/// ```
/// # use ebonyusher::remap::{GroupMap, PlacementLimits, improve};
/// let map: GroupMap = serde_json::from_str("[[[0, 1], [2, 3]]]").unwrap();
/// let limits = PlacementLimits { places: 3, spare: 2, copy_cost: 0.01 };
/// let better = improve(&map, |_| Some(&[8.0, 8.0, 1.0, 1.0]), &limits);
/// assert!(better.before > 1.7 && better.after < 1.2);
/// ```
pub fn improve<'a>(
    map: &GroupMap,
    demand: impl Fn(usize) -> Option<&'a [f64]>,
    limits: &PlacementLimits,
) -> Placement {
    let mut better = Placement { map: map.clone(), copies: 0, before: 0.0, after: 0.0 };
    for (set, ranks) in map.sets.iter().enumerate() {
        let Some(demand) = demand(set) else {
            better.before += 1.0;
            better.after += 1.0;
            continue;
        };
        let mut work = SetWork::new(ranks, demand);
        better.before += work.skew();
        let (ranks, copies, skew) = work.improve(limits);
        better.map.sets[set] = ranks;
        better.copies += copies;
        better.after += skew;
    }
    let sets = map.sets.len().max(1) as f64;
    better.before /= sets;
    better.after /= sets;
    better
}

/// One set's map while it is improved.
struct SetWork<'a> {
    ranks: Vec<Held>,
    demand: &'a [f64],
    /// Ranks that hold each expert.
    holders: Vec<u32>,
    loads: Vec<f64>,
    /// Experts copied to each rank so far.
    added: Vec<Held>,
    mean: f64,
}

/// A change of one set's map.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A rank holds an expert besides, in place of one that others hold too if it is full.
    Copy { expert: u16, to: usize, out: Option<u16> },
    /// An expert goes from one rank to another.
    Move { expert: u16, from: usize, to: usize },
    /// Two ranks exchange experts.
    Swap { expert: u16, from: usize, other: u16, to: usize },
}

impl Change {
    const fn copies(self) -> usize {
        match self {
            Self::Copy { .. } | Self::Move { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

impl<'a> SetWork<'a> {
    fn new(ranks: &[Held], demand: &'a [f64]) -> Self {
        let mut holders = vec![0; demand.len()];
        ranks.iter().flatten().for_each(|expert| holders[usize::from(*expert)] += 1);
        let mut work = Self {
            ranks: ranks.to_vec(),
            demand,
            holders,
            loads: vec![0.0; ranks.len()],
            added: vec![Held::new(); ranks.len()],
            mean: demand.iter().sum::<f64>() / ranks.len().max(1) as f64,
        };
        work.loads = (0..ranks.len()).map(|rank| work.load_of(rank)).collect();
        work
    }

    fn load_of(&self, rank: usize) -> f64 {
        self.ranks[rank].iter().map(|expert| self.part(*expert)).sum()
    }

    /// Tokens of an expert at each of the ranks that hold it.
    fn part(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.demand[expert] / f64::from(self.holders[expert].max(1))
    }

    fn skew(&self) -> f64 {
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { most / self.mean } else { 1.0 }
    }

    fn potential(&self) -> f64 {
        self.loads.iter().map(|load| (load / self.mean).powi(POWER)).sum()
    }

    /// Takes the best changes one after the other, and keeps as many of them as pay.
    fn improve(&mut self, limits: &PlacementLimits) -> (Vec<Held>, usize, f64) {
        let mut best = (self.ranks.clone(), 0, self.skew());
        let mut best_value = self.skew();
        let mut copies = 0;
        if self.mean <= 0.0 {
            return best;
        }
        for _ in 0..MAX_CHANGES {
            let Some(change) = self.best_change(limits) else { break };
            self.apply(change);
            copies += change.copies();
            let value = self.skew() + limits.copy_cost * copies as f64;
            if value < best_value {
                best_value = value;
                best = (self.ranks.clone(), copies, self.skew());
            }
        }
        best
    }

    fn best_change(&mut self, limits: &PlacementLimits) -> Option<Change> {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        let hot = *order.last()?;
        let cold: Vec<usize> = order.into_iter().take(COLD_RANKS).filter(|r| *r != hot).collect();
        let start = self.potential();
        let mut best: Option<(f64, Change)> = None;
        for expert in self.ranks[hot].clone() {
            for to in &cold {
                for change in self.changes(expert, hot, *to, limits) {
                    let gain = (start - self.potential_after(change)) / change.copies() as f64;
                    if gain > 0.0 && best.is_none_or(|(most, _)| gain > most) {
                        best = Some((gain, change));
                    }
                }
            }
        }
        best.map(|(_, change)| change)
    }

    /// Changes that relieve a rank of an expert at the cost of another rank.
    fn changes(
        &self,
        expert: u16,
        from: usize,
        to: usize,
        limits: &PlacementLimits,
    ) -> Vec<Change> {
        let taken = &self.ranks[to];
        if taken.contains(&expert) || self.added[to].len() >= limits.spare {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if taken.len() < limits.places {
            changes.push(Change::Copy { expert, to, out: None });
            changes.push(Change::Move { expert, from, to });
        } else {
            let spare = taken.iter().filter(|out| self.holders[usize::from(**out)] > 1);
            changes.extend(spare.map(|out| Change::Copy { expert, to, out: Some(*out) }));
        }
        if self.added[from].len() < limits.spare {
            let back = taken.iter().filter(|other| !self.ranks[from].contains(other));
            changes.extend(back.map(|other| Change::Swap { expert, from, other: *other, to }));
        }
        changes
    }

    fn potential_after(&mut self, change: Change) -> f64 {
        let loads = self.loads.clone();
        self.apply(change);
        let potential = self.potential();
        self.undo(change);
        self.loads = loads;
        potential
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Copy { expert, to, out } => {
                if let Some(out) = out {
                    self.drop_at(out, to);
                }
                self.add_at(expert, to);
            }
            Change::Move { expert, from, to } => {
                self.drop_at(expert, from);
                self.add_at(expert, to);
            }
            Change::Swap { expert, from, other, to } => {
                self.drop_at(expert, from);
                self.drop_at(other, to);
                self.add_at(expert, to);
                self.add_at(other, from);
            }
        }
    }

    fn undo(&mut self, change: Change) {
        match change {
            Change::Copy { expert, to, out } => {
                self.take_back(expert, to);
                if let Some(out) = out {
                    self.put_back(out, to);
                }
            }
            Change::Move { expert, from, to } => {
                self.take_back(expert, to);
                self.put_back(expert, from);
            }
            Change::Swap { expert, from, other, to } => {
                self.take_back(expert, to);
                self.take_back(other, from);
                self.put_back(expert, from);
                self.put_back(other, to);
            }
        }
    }

    fn add_at(&mut self, expert: u16, rank: usize) {
        self.put_back(expert, rank);
        self.added[rank].push(expert);
    }

    fn take_back(&mut self, expert: u16, rank: usize) {
        self.drop_at(expert, rank);
        self.added[rank].retain(|added| *added != expert);
    }

    fn put_back(&mut self, expert: u16, rank: usize) {
        self.change_holders(expert, 1);
        self.ranks[rank].push(expert);
        self.loads[rank] += self.part(expert);
    }

    fn drop_at(&mut self, expert: u16, rank: usize) {
        self.loads[rank] -= self.part(expert);
        self.ranks[rank].retain(|held| *held != expert);
        self.change_holders(expert, -1);
    }

    /// Changes the number of an expert's holders, and the loads of those that hold it now.
    fn change_holders(&mut self, expert: u16, by: i32) {
        let before = self.part(expert);
        let holders = &mut self.holders[usize::from(expert)];
        *holders = holders.saturating_add_signed(by);
        let after = self.part(expert);
        for (load, held) in self.loads.iter_mut().zip(&self.ranks) {
            if held.contains(&expert) {
                *load += after - before;
            }
        }
    }
}
