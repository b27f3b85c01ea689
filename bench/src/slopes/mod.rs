//! Slopes: what each role costs as one quantity grows, measured on one machine.

mod accounting;
mod measure;
mod measure_group;
mod measure_settings;
mod measure_traffic;
mod slope;
mod slope_cluster;
mod slope_group;

pub use measure::{SlopesError, measure_slopes};
pub use slope::{Point, Slope, SlopeFile};
pub use slope_group::SlopeGroup;
