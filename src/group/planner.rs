use super::evaluate::{Candidate, Step, best_step};
use super::layer_state::LayerState;
use super::{ExpertMap, GroupWeights, Move, Plan, Popularity, Shape, Speeds};

/// Sweeps over a layer's shares after a change.
const LOCAL_SWEEPS: usize = 2;
/// Fall of the potential at which new shares alone are worth a switch.
const SHARE_GAIN: f64 = 5e-4;
/// Excess of skew below which no difference is made.
const LEAST_EXCESS: f64 = 1e-3;

/// How a planner weighs skew against moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerOptions {
    /// Weights of the service's settings.
    pub weights: GroupWeights,
    /// Steps for which a change is expected to pay.
    pub horizon: f64,
    /// Least fall of skew for which an expert is fetched at the usual excess.
    pub min_gain: f64,
    /// Excess of skew over one that is usual. A fetch has to gain more below it and less above.
    pub typical_excess: f64,
    /// Most fetches of one plan.
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

/// Improves a group's map in small changes, the best gain for its bytes first.
#[derive(Clone, Debug)]
pub struct Planner {
    shape: Shape,
    options: PlannerOptions,
    layers: Vec<Popularity>,
    speeds: Speeds,
}

impl Planner {
    /// Knows nothing yet of a group's load.
    pub fn new(shape: Shape, options: PlannerOptions) -> Self {
        let layers = vec![Popularity::new(shape.experts); shape.layers];
        Self { shape, options, layers, speeds: Speeds::new(shape.ranks) }
    }

    /// Changes how skew is weighed against moves.
    pub const fn set_weights(&mut self, weights: GroupWeights) {
        self.options.weights = weights;
    }

    /// Takes in one step of one layer: tokens of each expert, and load and time of each rank.
    pub fn observe(&mut self, layer: usize, tokens: &[f64], loads: &[f64], times: &[f64]) {
        self.layers[layer].observe(tokens);
        self.speeds.observe(loads, times);
    }

    /// Plans the next switch from the present map; nothing if staying is as good. The plan never
    /// fetches more than `budget` experts.
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
            .map(|layer| self.open(present, layer))
            .collect();
        let mut left = budget.min(self.options.max_moves);
        let mut moves = Vec::new();
        while let Some(plan) = self.best_layer(&mut layers, left) {
            let Some(candidate) = plan.best.take() else {
                break;
            };
            left -= candidate.step.fetches();
            plan.apply(candidate.step, &mut moves);
        }
        let worth = !moves.is_empty() || layers.iter().any(LayerPlan::shares_pay);
        worth.then(|| self.close(present, &layers, moves))
    }

    /// Fall of a layer's skew that pays for one fetch. The slowest ranks of a very uneven layer are
    /// many, and one fetch lowers the skew little, but only many fetches together even it out; a
    /// nearly even layer is not worth polishing.
    fn price(&self, plan: &LayerPlan) -> f64 {
        let GroupWeights { skew, moves } = self.options.weights;
        if skew <= 0.0 {
            return f64::INFINITY;
        }
        let cost = moves / (skew * self.options.horizon * self.shape.experts as f64);
        let excess = (plan.state.potential.value() - 1.0).max(LEAST_EXCESS);
        cost.max(self.options.min_gain * self.options.typical_excess / excess)
    }

    /// The layer whose best change is worth most against its price, if that pays and fits.
    fn best_layer<'a>(
        &self,
        layers: &'a mut [LayerPlan],
        left: usize,
    ) -> Option<&'a mut LayerPlan> {
        let worth = |plan: &LayerPlan| {
            let fitting = plan.best.filter(|best| best.step.fetches() <= left);
            fitting.map_or(0.0, |best| best.worth() / self.price(plan))
        };
        let best = layers.iter_mut().max_by(|left, right| worth(left).total_cmp(&worth(right)))?;
        (worth(best) > 1.0).then_some(best)
    }

    fn open(&self, present: &ExpertMap, layer: usize) -> LayerPlan {
        let tokens = self.layers[layer].estimate();
        let speeds = self.speeds.get();
        let loads = present.layers[layer].loads(tokens);
        let before = super::potential::Potential::new(&loads, speeds).value();
        let state = LayerState::new(&self.shape, &present.layers[layer], tokens, speeds);
        let best = best_step(&state);
        LayerPlan { layer, state, best, before }
    }

    fn close(&self, present: &ExpertMap, layers: &[LayerPlan], moves: Vec<Move>) -> Plan {
        let mut map = present.clone();
        map.version += 1;
        for plan in layers {
            map.layers[plan.layer] = plan.state.to_map();
        }
        let bytes = moves.len() as u64 * self.shape.expert_bytes;
        Plan { map, moves, bytes }
    }
}

/// One layer while a plan is made.
struct LayerPlan {
    layer: usize,
    state: LayerState,
    best: Option<Candidate>,
    /// Potential of the present map with its present shares.
    before: f64,
}

impl LayerPlan {
    fn apply(&mut self, step: Step, moves: &mut Vec<Move>) {
        let layer = self.layer;
        match step {
            Step::Copy { rank, expert, out } => {
                self.state.replace(rank, out, expert);
                moves.push(Move { layer, rank, expert, evicted: out });
            }
            Step::Chain { rank, expert, out, via, gone } => {
                self.state.replace(via, gone, out);
                self.state.replace(rank, out, expert);
                moves.push(Move { layer, rank: via, expert: out, evicted: gone });
                moves.push(Move { layer, rank, expert, evicted: out });
            }
            Step::Swap { hot, expert, cold, other } => {
                self.state.replace(cold, other, expert);
                self.state.replace(hot, expert, other);
                moves.push(Move { layer, rank: cold, expert, evicted: other });
                moves.push(Move { layer, rank: hot, expert: other, evicted: expert });
            }
        }
        self.state.sweep(LOCAL_SWEEPS);
        self.best = best_step(&self.state);
    }

    fn shares_pay(&self) -> bool {
        self.before - self.state.potential.value() > SHARE_GAIN
    }
}
