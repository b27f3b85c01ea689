//! Which upstreams of a service form a group, as the leaders of the groups publish it.

mod group_name;
mod group_row;

pub use group_name::GroupName;
pub use group_row::GroupRow;
