//! Expert maps of expert-parallel groups: which rank holds which experts, and planning of better
//! maps. [`crate::switch`] has all ranks change to a new map at the same step.

mod evaluate;
mod expert_map;
mod group_weights;
mod layer_map;
mod layer_state;
mod plan;
mod planner;
mod popularity;
mod potential;
mod shape;
mod speeds;
mod water_fill;

pub use expert_map::ExpertMap;
pub use group_weights::GroupWeights;
pub use layer_map::{LayerMap, MapError};
pub use plan::{Move, Plan};
pub use planner::{Planner, PlannerOptions};
pub use popularity::Popularity;
pub use shape::Shape;
pub use speeds::Speeds;
