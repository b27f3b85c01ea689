use ebonyusher::group::{ExpertMap, Planner, PlannerOptions, Popularity, Shape, Speeds};

use super::full_plan::{match_ranks, plan_layer};

/// Switch to a new map that a policy requests.
#[derive(Clone, Debug)]
pub struct Switch {
    /// New map.
    pub map: ExpertMap,
    /// Number of experts that ranks have to fetch before the switch.
    pub fetches: usize,
}

/// Policy that plans expert maps.
pub trait MapPolicy {
    /// Records tokens by expert, and load and time by rank, of one layer in one step.
    fn observe(&mut self, layer: usize, tokens: &[f64], loads: &[f64], times: &[f64]);

    /// Returns a switch to make after a step, if any. Called only while no switch is under way.
    /// `budget` is the number of experts that the store can move for one plan.
    fn plan(&mut self, step: usize, current: &ExpertMap, budget: usize) -> Option<Switch>;

    /// Returns whether switches take effect at once and cost nothing.
    fn is_free(&self) -> bool {
        false
    }
}

/// Policy that keeps the initial map.
#[derive(Clone, Copy, Debug)]
pub struct StaticMap;

impl MapPolicy for StaticMap {
    fn observe(&mut self, _: usize, _: &[f64], _: &[f64], _: &[f64]) {}

    fn plan(&mut self, _: usize, _: &ExpertMap, _: usize) -> Option<Switch> {
        None
    }
}

/// Policy that plans each map from scratch.
#[derive(Clone, Debug)]
pub struct FullReplan {
    shape: Shape,
    layers: Vec<Popularity>,
    speeds: Speeds,
    /// Steps between plans.
    interval: usize,
    free: bool,
}

impl FullReplan {
    /// Plans again as soon as the last switch has taken effect.
    pub fn new(shape: Shape) -> Self {
        let layers = vec![Popularity::new(shape.experts); shape.layers];
        Self { shape, layers, speeds: Speeds::new(shape.ranks), interval: 1, free: false }
    }

    /// Plans every `interval` steps, with instant and free moves.
    pub fn oracle(shape: Shape, interval: usize) -> Self {
        Self { interval, free: true, ..Self::new(shape) }
    }
}

impl MapPolicy for FullReplan {
    fn observe(&mut self, layer: usize, tokens: &[f64], loads: &[f64], times: &[f64]) {
        self.layers[layer].observe(tokens);
        self.speeds.observe(loads, times);
    }

    fn plan(&mut self, step: usize, current: &ExpertMap, _: usize) -> Option<Switch> {
        if !step.is_multiple_of(self.interval) {
            return None;
        }
        let mut map = ExpertMap { version: current.version + 1, layers: Vec::new() };
        let mut fetches = 0;
        for (popularity, current) in self.layers.iter().zip(&current.layers) {
            let speeds = self.speeds.get();
            let new = plan_layer(&self.shape, popularity.estimate(), speeds);
            let new = match_ranks(&self.shape, current, &new, speeds);
            fetches += new.fetches_from(current);
            map.layers.push(new);
        }
        Some(Switch { map, fetches })
    }

    fn is_free(&self) -> bool {
        self.free
    }
}

/// Policy that uses the product's planner.
#[derive(Clone, Debug)]
pub struct PlannerPolicy {
    planner: Planner,
    interval: usize,
}

impl PlannerPolicy {
    /// Plans every `interval` steps.
    pub fn new(shape: Shape, options: PlannerOptions, interval: usize) -> Self {
        Self { planner: Planner::new(shape, options), interval }
    }
}

impl MapPolicy for PlannerPolicy {
    fn observe(&mut self, layer: usize, tokens: &[f64], loads: &[f64], times: &[f64]) {
        self.planner.observe(layer, tokens, loads, times);
    }

    fn plan(&mut self, step: usize, current: &ExpertMap, budget: usize) -> Option<Switch> {
        if !step.is_multiple_of(self.interval) {
            return None;
        }
        let plan = self.planner.plan(current, budget)?;
        Some(Switch { map: plan.map, fetches: plan.moves.len() })
    }
}
