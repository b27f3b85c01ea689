//! RPC between the system's own processes: links and settings.

mod crash_report;
mod hint;
mod link_report;
mod link_rpc;
mod load;
mod rpc_handler;
mod rpc_listener;
mod settings_follower;
mod settings_rpc;
mod settings_server;
mod versions;

pub use crash_report::CrashReport;
pub use hint::Hint;
pub use link_report::{Hello, LinkReport};
pub use link_rpc::{LinkRpcClient, LinkRpcServer};
pub use load::Load;
pub use rpc_listener::RpcListener;
pub use settings_follower::{HintSender, SettingsFollower};
pub use settings_rpc::{SettingsRpcClient, SettingsRpcServer};
pub use settings_server::SettingsServer;
pub use versions::{Delta, Versions};
