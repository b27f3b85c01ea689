use smallvec::SmallVec;

use super::HeldExperts;

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

/// A changed map of one set, and what it changes.
#[derive(Clone, Debug, PartialEq)]
pub struct SetPlacement {
    /// Experts by rank.
    pub ranks: Vec<HeldExperts>,
    /// Experts that ranks have to copy.
    pub copies: usize,
    /// Load of the most loaded rank over the mean under the present map.
    pub before: f64,
    /// The same under the changed map.
    pub after: f64,
}

/// Least loaded ranks that may take an expert.
const COLD_RANKS: usize = 8;
/// Most changes of one set in one plan.
const MAX_CHANGES: usize = 40;
/// Power by which loads are summed up: high, so that the most loaded ranks count.
const POWER: i32 = 8;

/// Improves one set's map by copying few experts. `demand` gives the share of each expert.
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
    SetWork::new(ranks, demand).improve(limits)
}

/// One set's map while it is improved.
struct SetWork<'a> {
    ranks: Vec<HeldExperts>,
    demand: &'a [f64],
    /// Ranks that hold each expert.
    holders: Vec<SmallVec<[u16; 4]>>,
    loads: Vec<f64>,
    /// Experts copied to each rank so far.
    added: Vec<usize>,
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

/// Changes of the loads of a few ranks.
type Shifts = SmallVec<[(usize, f64); 16]>;

impl Change {
    const fn copies(self) -> usize {
        match self {
            Self::Copy { .. } | Self::Move { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

impl<'a> SetWork<'a> {
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
        let load = |held: &HeldExperts| held.iter().map(|expert| work.part(*expert, 0)).sum();
        work.loads = work.ranks.iter().map(load).collect();
        work
    }

    /// Tokens of an expert at each of its ranks, if it had so many more of them.
    fn part(&self, expert: u16, more: i32) -> f64 {
        let expert = usize::from(expert);
        let holders = i32::try_from(self.holders[expert].len()).unwrap_or(i32::MAX) + more;
        self.demand[expert] / f64::from(holders.max(1))
    }

    fn skew(&self) -> f64 {
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { most / self.mean } else { 1.0 }
    }

    /// Takes the best changes one after the other, and keeps as many of them as pay.
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
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        let hot = *order.last()?;
        let cold = order.into_iter().take(COLD_RANKS).filter(|rank| *rank != hot);
        let mut best: Option<(f64, Change)> = None;
        for to in cold {
            for expert in &self.ranks[hot] {
                self.offer_changes(*expert, hot, to, limits, &mut |change| {
                    let gain = self.gain(change) / change.copies() as f64;
                    if gain > 0.0 && best.is_none_or(|(most, _)| gain > most) {
                        best = Some((gain, change));
                    }
                });
            }
        }
        best.map(|(_, change)| change)
    }

    /// Offers the changes that relieve a rank of an expert at the cost of another rank.
    fn offer_changes(
        &self,
        expert: u16,
        from: usize,
        to: usize,
        limits: &PlacementLimits,
        offer: &mut impl FnMut(Change),
    ) {
        let taken = &self.ranks[to];
        if taken.contains(&expert) || self.added[to] >= limits.spare {
            return;
        }
        if taken.len() < limits.places {
            offer(Change::Copy { expert, to, out: None });
            offer(Change::Move { expert, from, to });
        } else {
            let spare = taken.iter().filter(|out| self.holders[usize::from(**out)].len() > 1);
            spare.for_each(|out| offer(Change::Copy { expert, to, out: Some(*out) }));
        }
        if self.added[from] < limits.spare {
            let back = taken.iter().filter(|other| !self.ranks[from].contains(other));
            back.for_each(|other| offer(Change::Swap { expert, from, other: *other, to }));
        }
    }

    /// Fall of the summed loads.
    fn gain(&self, change: Change) -> f64 {
        let power = |load: f64| (load / self.mean).powi(POWER);
        let shifts = self.shifts(change);
        shifts
            .iter()
            .map(|(rank, by)| power(self.loads[*rank]) - power(self.loads[*rank] + by))
            .sum()
    }

    /// How a change shifts the loads of the ranks that it concerns.
    fn shifts(&self, change: Change) -> Shifts {
        let mut shifts = Shifts::new();
        match change {
            Change::Copy { expert, to, out } => {
                self.spread(expert, 1, None, &mut shifts);
                add(&mut shifts, to, self.part(expert, 1));
                if let Some(out) = out {
                    self.spread(out, -1, Some(to), &mut shifts);
                    add(&mut shifts, to, -self.part(out, 0));
                }
            }
            Change::Move { expert, from, to } => self.carry(expert, from, to, &mut shifts),
            Change::Swap { expert, from, other, to } => {
                self.carry(expert, from, to, &mut shifts);
                self.carry(other, to, from, &mut shifts);
            }
        }
        shifts
    }

    fn carry(&self, expert: u16, from: usize, to: usize, shifts: &mut Shifts) {
        let part = self.part(expert, 0);
        add(shifts, from, -part);
        add(shifts, to, part);
    }

    /// What an expert's ranks take more or less when it has one rank more or less.
    fn spread(&self, expert: u16, more: i32, without: Option<usize>, shifts: &mut Shifts) {
        let by = self.part(expert, more) - self.part(expert, 0);
        let ranks = self.holders[usize::from(expert)].iter().map(|rank| usize::from(*rank));
        ranks.filter(|rank| Some(*rank) != without).for_each(|rank| add(shifts, rank, by));
    }

    fn apply(&mut self, change: Change) {
        for (rank, by) in self.shifts(change) {
            self.loads[rank] += by;
        }
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

    fn add_at(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(u16::try_from(rank).unwrap_or(u16::MAX));
        self.added[rank] += 1;
    }

    fn drop_at(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|held| usize::from(*held) != rank);
    }
}

fn add(shifts: &mut Shifts, rank: usize, by: f64) {
    match shifts.iter_mut().find(|(known, _)| *known == rank) {
        Some((_, sum)) => *sum += by,
        None => shifts.push((rank, by)),
    }
}
