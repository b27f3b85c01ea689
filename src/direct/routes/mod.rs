//! Routes, services and client accounts of the settings.

mod cold_start;
mod delivery;
mod route;
mod routing;
mod service;

pub use cold_start::ColdStart;
pub use delivery::Delivery;
pub use route::{Route, Split};
pub use routing::{Account, Limits, Routing};
pub use service::{Engine, Experts, Service};
