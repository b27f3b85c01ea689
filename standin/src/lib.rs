//! Stand-ins for the systems around the load balancer: the platform, a model engine and a plain
//! service.
//!
//! They are for tests, the demo and the bench, and are not shipped.

mod crowd;
mod engine;
mod engine_options;
mod faults;
mod faulty_rank_client;
mod fleet;
mod lagging;
mod lock_step_driver;
mod mem_platform;
mod order_log;
mod plain_service;
mod platform_node;
mod platform_server;
mod prefix_cache;
mod rank_engine;
mod rank_group_standin;
mod rate_limiter;
mod start_log;
mod token;
mod upstream_node;
mod write_outcome;

pub use crowd::{Behavior, Crowd, CrowdRequest, PeakUsage, ProcessUsage};
pub use engine::Engine;
pub use engine_options::EngineOptions;
pub use faults::Faults;
pub use faulty_rank_client::{FaultyRankClient, OrderFaults};
pub use fleet::{Fleet, FleetError, LINK_KEY, loopback};
pub use lock_step_driver::{GroupLog, LockStepDriver, StepRecord};
pub use mem_platform::MemPlatform;
pub use order_log::OrderLog;
pub use plain_service::{PlainService, PlainServiceOptions};
pub use platform_node::PlatformNode;
pub use platform_server::{ControlServer, PlatformServer};
pub use rank_engine::RankEngine;
pub use rank_group_standin::RankGroupStandin;
pub use start_log::StartLog;
pub use token::token;
pub use upstream_node::{CrashTrigger, Crashable, UpstreamNode};
pub use write_outcome::WriteOutcome;
