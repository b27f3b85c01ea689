//! Stand-ins for what the system meets: the platform, a model engine and a plain service.
//!
//! They are for tests, the demo and the bench, and are not shipped.

mod cache;
mod engine;
mod engine_options;
mod faults;
mod fleet;
mod group_orders;
mod lag;
mod lock_step;
mod mem_platform;
mod order_group;
mod order_port;
mod plain;
mod platform_node;
mod platform_server;
mod rank_engine;
mod rate;
mod start_log;
mod tokens;
mod upstream_node;
mod write_fate;

pub use engine::Engine;
pub use engine_options::EngineOptions;
pub use faults::Faults;
pub use fleet::{Fleet, FleetError, LINK_KEY, loopback};
pub use group_orders::OrderLog;
pub use lock_step::{GroupLog, LockStep, StepRecord};
pub use mem_platform::MemPlatform;
pub use order_group::OrderGroup;
pub use order_port::{OrderFaults, OrderPort};
pub use plain::{Plain, PlainOptions};
pub use platform_node::PlatformNode;
pub use platform_server::{ControlServer, PlatformServer};
pub use rank_engine::RankEngine;
pub use start_log::StartLog;
pub use tokens::token;
pub use upstream_node::{Crash, Faulty, UpstreamNode};
pub use write_fate::WriteFate;
