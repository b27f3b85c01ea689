//! Capacity page, calculated from measured slopes.

mod capacity_model;
mod exceptional_load;
mod page;
mod row;
mod sizes;

pub use page::capacity_page;
pub use sizes::Sizes;
