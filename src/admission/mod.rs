//! Which requests of an engine service are admitted under load, by priority and client account.
//!
//! Nothing here uses the network or tasks; the clock is an argument.

mod account_shares;
mod decision;
mod load_estimate;
mod offer;
mod own_trend;
mod priorities;
mod priority_admission;
mod return_schedule;
mod smoothed_share;

pub use account_shares::AccountShares;
pub use decision::{Basis, Decision};
pub use load_estimate::LoadEstimate;
pub use offer::Offer;
pub use own_trend::OwnTrend;
pub use priorities::{MAX_PRIORITY, Priorities};
pub use priority_admission::PriorityAdmission;
pub use return_schedule::ReturnSchedule;
pub use smoothed_share::SmoothedShare;
