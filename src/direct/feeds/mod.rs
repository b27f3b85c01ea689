//! Settings, upstreams and shared rows, as the platform tells of them.

mod channel_watch;
mod cold_updates;
mod directory;
mod evacuation_updates;
mod freshness;
mod platform_health;
mod routing_follower;
mod row_follower;
mod upstream_follower;
mod watch;

pub(super) use channel_watch::ChannelWatch;
pub(super) use cold_updates::ColdUpdates;
pub use directory::{
    Changes, Cursor, Directory, DirectoryError, ListChange, ListedUpstream, RoutingChange,
    RowChange,
};
pub(super) use evacuation_updates::EvacuationUpdates;
pub use freshness::Freshness;
pub(super) use platform_health::PlatformHealth;
pub(super) use routing_follower::RoutingFollower;
pub(super) use row_follower::RowFollower;
pub(super) use upstream_follower::{ListBounds, UpstreamFollower};
pub(super) use watch::{CurrentRouting, RoutingPublisher};
