use super::evaluate::{Candidate, MapChange, best_change};
use super::layer_state::LayerState;
use super::{ExpertMap, GroupWeights, Move, Plan, Popularity, Shape, Speeds};

/// Number of sweeps over a layer's shares after a change.
const LOCAL_SWEEPS: usize = 2;
/// Min reduction of the potential at which new shares alone are worth a switch.
const MIN_SHARE_GAIN: f64 = 5e-4;
/// Lower bound of the excess of skew over one in the price of a fetch. Smaller excesses make no
/// difference to the price.
const MIN_EXCESS: f64 = 1e-3;
/// Relative difference of two times that is only rounding.
const TIME_TOLERANCE: f64 = 1e-9;

/// How a planner weighs skew against fetches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerOptions {
    /// Weights from the service's settings.
    pub weights: GroupWeights,
    /// Number of steps for which a change is expected to pay off.
    pub horizon: f64,
    /// Min reduction of skew for which an expert is fetched at the typical excess.
    pub min_gain: f64,
    /// Typical excess of skew over one. A fetch has to gain more below it and less above it.
    pub typical_excess: f64,
    /// Max number of fetches in one plan.
    pub max_moves: usize,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            weights: GroupWeights::default(),
            horizon: 200.0,
            min_gain: 8e-4,
            typical_excess: 0.1,
            max_moves: 16,
        }
    }
}

/// Improves a group's map by small changes, those with the greatest gain per fetch first.
#[derive(Clone, Debug)]
pub struct Planner {
    shape: Shape,
    options: PlannerOptions,
    layers: Vec<Popularity>,
    speeds: Speeds,
}

impl Planner {
    /// A planner that has no measurements of the group's load yet.
    pub fn new(shape: Shape, options: PlannerOptions) -> Self {
        let layers = vec![Popularity::new(shape.experts); shape.layers];
        Self { shape, options, layers, speeds: Speeds::new(shape.ranks) }
    }

    /// Changes how skew is weighed against fetches.
    pub const fn set_weights(&mut self, weights: GroupWeights) {
        self.options.weights = weights;
    }

    /// Records one step of one layer: the tokens of each expert, and the load and time of each
    /// rank.
    pub fn observe(&mut self, layer: usize, tokens: &[f64], loads: &[f64], times: &[f64]) {
        self.layers[layer].observe(tokens);
        self.speeds.observe(loads, times);
    }

    /// Plans the next switch from the present map. Returns `None` if keeping the map is as good. A
    /// plan never fetches more than `budget` experts.
    ///
    /// ```
    /// # use ebonyusher::group::{ExpertMap, Planner, PlannerOptions, Shape};
    /// let shape = Shape { ranks: 2, experts: 2, slots: 2, layers: 1, expert_bytes: 1 };
    /// let planner = Planner::new(shape, PlannerOptions::default());
    /// assert!(planner.plan(&ExpertMap::initial(&shape), 8).is_none());
    /// ```
    pub fn plan(&self, present: &ExpertMap, budget: usize) -> Option<Plan> {
        let mut layers: Vec<LayerPlan> = (0..self.shape.layers)
            .filter(|layer| self.layers[*layer].is_known())
            .map(|layer| self.evaluate_layer(present, layer))
            .collect();
        let mut left = budget.min(self.options.max_moves);
        let mut moves = Vec::new();
        while let Some(plan) = self.best_layer(&mut layers, left) {
            let Some(candidate) = plan.best.take() else {
                break;
            };
            left -= candidate.change.fetches();
            plan.apply(candidate.change, &mut moves);
        }
        layers.iter_mut().for_each(|plan| plan.drop_slower_changes(&mut moves));
        let worth = !moves.is_empty() || layers.iter().any(LayerPlan::shares_pay);
        worth.then(|| self.build_plan(present, &layers, moves))
    }

    /// Reduction of a layer's skew that pays for one fetch. A very uneven layer has many slow
    /// ranks: one fetch reduces the skew little, and only many fetches together even it out. A
    /// nearly even layer is not worth more fetches.
    fn price(&self, plan: &LayerPlan) -> f64 {
        let GroupWeights { skew, moves } = self.options.weights;
        if skew <= 0.0 {
            return f64::INFINITY;
        }
        let cost = moves / (skew * self.options.horizon * self.shape.experts as f64);
        let excess = (plan.state.potential.value() - 1.0).max(MIN_EXCESS);
        cost.max(self.options.min_gain * self.options.typical_excess / excess)
    }

    /// Returns the layer whose best change gains most relative to its price, if that pays off and
    /// needs at most `left` fetches.
    fn best_layer<'a>(
        &self,
        layers: &'a mut [LayerPlan],
        left: usize,
    ) -> Option<&'a mut LayerPlan> {
        let worth = |plan: &LayerPlan| {
            let fitting = plan.best.filter(|best| best.change.fetches() <= left);
            fitting.map_or(0.0, |best| best.gain_per_fetch() / self.price(plan))
        };
        let best = layers.iter_mut().max_by(|left, right| worth(left).total_cmp(&worth(right)))?;
        (worth(best) > 1.0).then_some(best)
    }

    /// Evaluates a layer under the present map.
    fn evaluate_layer(&self, present: &ExpertMap, layer: usize) -> LayerPlan {
        let tokens = self.layers[layer].estimate();
        let speeds = self.speeds.get();
        let loads = present.layers[layer].loads(tokens);
        let before = super::potential::Potential::new(&loads, speeds).value();
        let max_time = loads.iter().zip(speeds).map(|(load, speed)| load / speed);
        let max_time = max_time.fold(0.0, f64::max) * (1.0 + TIME_TOLERANCE);
        let state = LayerState::new(&self.shape, &present.layers[layer], tokens, speeds);
        let best = best_change(&state);
        let accepted = Accepted { state: state.clone(), moves: 0 };
        LayerPlan { layer, state, best, before, max_time, moves: 0, accepted }
    }

    /// Builds the plan from the changed layers and their fetches.
    fn build_plan(&self, present: &ExpertMap, layers: &[LayerPlan], moves: Vec<Move>) -> Plan {
        let mut map = present.clone();
        map.version += 1;
        for plan in layers {
            map.layers[plan.layer] = plan.state.to_map();
        }
        let bytes = moves.len() as u64 * self.shape.expert_bytes;
        Plan { map, moves, bytes }
    }
}

/// State of one layer during planning.
struct LayerPlan {
    layer: usize,
    state: LayerState,
    best: Option<Candidate>,
    /// Potential under the present map with its present shares.
    before: f64,
    /// Time of the slowest rank that the planned map must not exceed.
    max_time: f64,
    /// Number of fetches that the changes so far need.
    moves: usize,
    accepted: Accepted,
}

/// Last state of a layer at which its slowest rank took no longer than under the present map.
struct Accepted {
    state: LayerState,
    /// Number of fetches that lead to the state.
    moves: usize,
}

impl LayerPlan {
    fn apply(&mut self, change: MapChange, moves: &mut Vec<Move>) {
        let layer = self.layer;
        self.moves += change.fetches();
        match change {
            MapChange::Copy { rank, expert, evicted } => {
                self.state.replace(rank, evicted, expert);
                moves.push(Move { layer, rank, expert, evicted });
            }
            MapChange::Chain { rank, expert, displaced, via, evicted } => {
                self.state.replace(via, evicted, displaced);
                self.state.replace(rank, displaced, expert);
                moves.push(Move { layer, rank: via, expert: displaced, evicted });
                moves.push(Move { layer, rank, expert, evicted: displaced });
            }
            MapChange::Swap { hot, expert, cold, other } => {
                self.state.replace(cold, other, expert);
                self.state.replace(hot, expert, other);
                moves.push(Move { layer, rank: cold, expert, evicted: other });
                moves.push(Move { layer, rank: hot, expert: other, evicted: expert });
            }
        }
        self.state.sweep(LOCAL_SWEEPS);
        self.best = best_change(&self.state);
        if self.state.slowest_time() <= self.max_time {
            self.accepted = Accepted { state: self.state.clone(), moves: self.moves };
        }
    }

    /// Drops the last changes if they leave the slowest rank slower than under the present map. The
    /// potential may fall although the slowest rank gets slower, if many others get faster.
    fn drop_slower_changes(&mut self, moves: &mut Vec<Move>) {
        let mut left = self.accepted.moves;
        moves.retain(|planned| {
            let is_kept = planned.layer != self.layer || left > 0;
            left -= usize::from(is_kept && planned.layer == self.layer);
            is_kept
        });
        self.state = self.accepted.state.clone();
    }

    fn shares_pay(&self) -> bool {
        self.before - self.state.potential.value() > MIN_SHARE_GAIN
    }
}
