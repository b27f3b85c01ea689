//! ebonyusher is a load balancer for expert-parallel model groups and the plain services beside
//! them.
//!
//! An *entry* accepts requests from callers, and reaches an upstream only through the *sidecar*
//! beside it, except in deployments without sidecars (see [`direct`]). Persistent state is kept in
//! the platform's table, and expert maps in its object store. `docs/ARCHITECTURE.md` describes the
//! whole design.

pub mod admin;
pub mod admission;
pub mod capacity;
pub mod cli;
pub mod ctl;
pub mod direct;
pub mod entry;
pub mod event_log;
pub mod group;
pub mod id;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod net;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod remap;
pub mod settings;
pub mod sidecar;
pub mod switch;
pub mod units;
