//! An entry that sends requests straight to upstreams, for deployments in which no sidecar stands
//! between them: it checks each answer itself, and repeats only what may be repeated.

mod body;
mod choice;
mod connection;
mod course;
mod delivery;
mod direct_meter;
mod directory;
mod dispatcher;
mod event;
mod follow_routing;
mod follow_upstreams;
mod freshness;
mod handler;
mod ledger;
mod link;
mod node;
mod order;
mod refuse;
mod relay;
mod retry_budget;
mod roster;
mod route;
mod routing;
mod service;
mod side_handler;
mod upstream;
mod watch;
mod wire;

pub use body::DirectBody;
pub use choice::{View, choose};
pub use delivery::Delivery;
pub use direct_meter::DirectMeter;
pub use directory::{Changes, Directory, DirectoryError, ListChange, Listed, RoutingChange};
pub use freshness::Freshness;
pub use node::DirectNode;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use roster::{Roster, RosterChange, Upstreams};
pub use route::{Route, Split};
pub use routing::{Account, Limits, Routing};
pub use service::{Engine, Experts, Service};
pub use upstream::{Load, Upstream};
pub use wire::Wire;
