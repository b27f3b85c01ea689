//! An entry that sends requests directly to upstreams, for deployments without sidecars.
//!
//! It validates each response itself and retries only requests that are safe to run again. Settings
//! and the list of upstreams come from the platform through a [`Directory`].

mod admission;
mod attempts;
mod checked_request;
mod crash_gate;
mod direct_meter;
mod dispatch_log;
mod dispatcher;
mod entries;
mod entry_parts;
mod event;
mod feeds;
mod groups;
mod handler;
mod head_limits;
mod header_names;
mod limits;
mod monitoring;
mod node;
mod prompt_parts;
mod quarantine;
mod responses;
mod routes;
mod service_state;
mod upstreams;

pub use admission::{
    Admission, Candidate, Charge, EngineLoad, LatencyTargets, OtherEntriesLoad, RetryBudget,
    RetryLimits, ReturnQueue, StreamStats, choose, estimate_loads, load_share,
};
pub use direct_meter::DirectMeter;
pub use entries::{EntryRow, KnownEntries};
pub use feeds::{
    Changes, Cursor, Directory, DirectoryError, Freshness, ListChange, ListedUpstream,
    RoutingChange, RowChange,
};
pub use groups::{
    GroupChange, GroupCondition, GroupDirectory, GroupLoad, GroupRecovery, Membership, Memberships,
    choose_group,
};
pub use header_names::HeaderNames;
pub use limits::{
    ColdChange, ColdSource, LimitChange, LimitRow, NamedLimit, RowLimit, UpstreamLimits,
};
pub use node::DirectNode;
pub use prompt_parts::PromptParts;
pub use quarantine::{Crash, CrashSet, CrashStatus, Crashes, Quarantine, SharedCrashes, Survivals};
pub use responses::DirectBody;
pub use routes::{
    Account, ColdStart, Delivery, Engine, Experts, Limits, Route, Routing, Service, Split,
};
pub use upstreams::{
    Evacuation, Evacuations, GroupOutage, Inactivity, Liveness, Load, Roster, RosterChange,
    SilenceLimit, Upstream, Upstreams,
};
