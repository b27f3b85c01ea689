//! Request rates that upstreams name, and how the entries share them.

mod cold_upstreams;
mod known_limits;
mod limit_row;
mod limit_sharing;
mod limited_upstream;
mod named_limit;
mod other_entries;
mod share;
mod upstream_limits;

pub use cold_upstreams::{ColdChange, ColdSource};
pub use known_limits::LimitChange;
pub use limit_row::{LimitRow, RowLimit};
pub(super) use limit_sharing::LimitSharing;
pub use named_limit::NamedLimit;
pub use upstream_limits::UpstreamLimits;
