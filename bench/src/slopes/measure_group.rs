use std::sync::Arc;
use std::time::{Duration, Instant};

use ebonyusher::group::{ExpertMap, Planner, PlannerOptions, Shape};
use ebonyusher::switch::{LayerCount, MapId, StepCounts, StepGate};

use super::{Point, Slope};
use crate::expert::{TraceHeader, TraceKind, generate_trace};

const EXPERTS: usize = 256;
const SLOTS: usize = 2;
const RANKS: usize = 256;
const EXPERT_BYTES: u64 = 44_040_192;
const STEP_MS: f64 = 40.0;
/// Steps that the planner observes before it is measured.
const WARM_UP_STEPS: usize = 30;
/// Plans that a planning time is averaged over.
const PLANS: u32 = 5;
/// Experts that one plan may move.
const MOVE_BUDGET: usize = 16;
/// Steps that an admission time is averaged over.
const ENTERED_STEPS: u64 = 2_000;

/// Measures planning, step admission and the size of token counts.
pub(super) async fn measure_group() -> Vec<Slope> {
    let layers = [4, 15, 30, 60].map(|layers| point(layers, plan_micros(RANKS, layers)));
    let ranks = [32, 64, 128, 256].map(|ranks| {
        let slots = (EXPERTS / ranks).max(1) + 1;
        point(ranks, plan_micros_with_slots(ranks, slots, 15))
    });
    let mut admissions = Vec::new();
    for layers in [1, 15, 30, 60] {
        admissions.push(point(layers, step_admission_micros(layers).await));
    }
    let counts = [1, 15, 30, 60].map(|layers| point(layers, counts_bytes(layers)));
    vec![
        Slope::fit("plan_cpu_layers", "layers of 256 ranks", "us a plan", layers.to_vec()),
        Slope::fit("plan_cpu_ranks", "ranks, 15 layers", "us a plan", ranks.to_vec()),
        Slope::fit("enter_cpu", "layers", "us a step", admissions),
        Slope::fit("stats_bytes", "layers", "B a rank and round", counts.to_vec()),
    ]
}

fn point(x: usize, y: f64) -> Point {
    Point { x: x as f64, y }
}

fn plan_micros(ranks: usize, layers: usize) -> f64 {
    plan_micros_with_slots(ranks, SLOTS, layers)
}

fn plan_micros_with_slots(ranks: usize, slots: usize, layers: usize) -> f64 {
    let shape = Shape { ranks, experts: EXPERTS, slots, layers, expert_bytes: EXPERT_BYTES };
    let header = TraceHeader {
        ranks,
        experts: EXPERTS,
        slots,
        layers,
        expert_bytes: EXPERT_BYTES,
        step_ms: STEP_MS,
    };
    let trace = generate_trace(TraceKind::Drift, header, WARM_UP_STEPS, 1);
    let map = ExpertMap::initial(&shape);
    let mut planner = Planner::new(shape, PlannerOptions::default());
    for step in &trace.steps {
        for (layer, tokens) in step.tokens.iter().enumerate() {
            let loads = map.layers[layer].loads(tokens);
            planner.observe(layer, tokens, &loads, &loads);
        }
    }
    let began = Instant::now();
    for _ in 0..PLANS {
        std::hint::black_box(planner.plan(&map, MOVE_BUDGET));
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(PLANS)
}

fn counts(layers: usize) -> StepCounts {
    let layer = LayerCount { experts: vec![1; SLOTS], tokens: vec![1_234.0; SLOTS], millis: 1.5 };
    StepCounts { layers: vec![layer; layers] }
}

/// Returns the time to admit a rank to a step, including parsing and recording its counts.
async fn step_admission_micros(layers: usize) -> f64 {
    let gate = Arc::new(StepGate::new());
    let report = gate.freeze(1);
    let incarnation = report.map_or(0, |report| report.incarnation);
    gate.form(incarnation, 1, MapId::default());
    let text = serde_json::to_string(&counts(layers)).unwrap_or_default();
    let began = Instant::now();
    for step in 1..=ENTERED_STEPS {
        let counts = serde_json::from_str(&text).ok();
        let entered = gate.enter(step, counts);
        tokio::time::timeout(Duration::from_secs(1), entered).await.ok();
    }
    began.elapsed().as_secs_f64() * 1e6 / ENTERED_STEPS as f64
}

fn counts_bytes(layers: usize) -> f64 {
    serde_json::to_vec(&counts(layers)).unwrap_or_default().len() as f64
}
