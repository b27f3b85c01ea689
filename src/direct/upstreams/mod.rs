//! What an entry knows of the upstreams of a service, and judges of them.

mod backoff;
mod evacuations;
mod group_outage;
mod hidden_listings;
mod idle_connections;
mod in_flight;
mod inactivity;
mod liveness;
mod load;
mod measured;
mod roster;
mod silence_limit;
mod upstream;
mod upstream_state;

pub use evacuations::{Evacuation, Evacuations};
pub use group_outage::GroupOutage;
pub(super) use group_outage::retry_after_stall;
pub(super) use in_flight::InFlight;
pub use inactivity::Inactivity;
pub use liveness::Liveness;
pub use load::Load;
pub(super) use load::LoadReport;
pub(super) use measured::Measured;
pub use roster::{Roster, RosterChange, Upstreams};
pub use silence_limit::SilenceLimit;
pub use upstream::Upstream;
