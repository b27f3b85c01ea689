//! The capacity page, worked out from measured slopes.

mod bad_days;
mod page;
mod row;
mod rows;
mod sizes;

pub use page::capacity_page;
pub use sizes::Sizes;
