//! Leases with fencing tokens, stored in the platform's table.

mod fence_gate;
mod holder;
mod lease_row;

pub use fence_gate::FenceGate;
pub use holder::{Lease, LeaseError};
pub use lease_row::{LeaseRow, lease_key};
