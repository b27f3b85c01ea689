//! An entry that sends requests directly to upstreams, for deployments without sidecars.
//!
//! It validates each response itself and retries only requests that are safe to run again. Settings
//! and the list of upstreams come from the platform through a [`Directory`].

mod admission;
mod announcements;
mod attempt;
mod attempt_history;
mod body;
mod body_memory;
mod checked_request;
mod choice;
mod connection;
mod crash_gate;
mod delivery;
mod direct_meter;
mod directory;
mod dispatch_log;
mod dispatcher;
mod event;
mod failed_attempt;
mod freshness;
mod group_outage;
mod handler;
mod header_names;
mod header_watch;
mod inactivity;
mod limits;
mod liveness;
mod load;
mod monitoring;
mod node;
mod open_attempt;
mod pause;
mod pick;
mod platform_health;
mod quarantine;
mod refusal_response;
mod relay;
mod request_tracker;
mod retry_budget;
mod return_queue;
mod roster;
mod route;
mod routing;
mod routing_follower;
mod row_follower;
mod service;
mod service_state;
mod silence_limit;
mod stream_stats;
mod upstream;
mod upstream_follower;
mod watch;

pub use admission::{Admission, EngineLoad, LatencyTargets};
pub use body::DirectBody;
pub use body_memory::{BodyMemory, BodyShare};
pub use choice::{Candidate, OtherEntriesLoad, choose, estimate_loads, load_share};
pub use delivery::Delivery;
pub use direct_meter::DirectMeter;
pub use directory::{
    Changes, Cursor, Directory, DirectoryError, ListChange, ListedUpstream, RoutingChange,
    RowChange,
};
pub use freshness::Freshness;
pub use group_outage::GroupOutage;
pub use header_names::HeaderNames;
pub use inactivity::Inactivity;
pub use limits::{LimitChange, LimitRow, NamedLimit, RowLimit, UpstreamLimits};
pub use liveness::Liveness;
pub use load::Load;
pub use node::DirectNode;
pub use quarantine::{Crash, CrashSet, CrashStatus, Crashes, Quarantine, SharedCrashes};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use return_queue::ReturnQueue;
pub use roster::{Roster, RosterChange, Upstreams};
pub use route::{Route, Split};
pub use routing::{Account, Limits, Routing};
pub use service::{Engine, Experts, Service};
pub use silence_limit::SilenceLimit;
pub use stream_stats::StreamStats;
pub use upstream::Upstream;
