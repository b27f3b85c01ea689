//! Calls between the system's own processes.

mod crash_note;
mod follow;
mod hint;
mod link_note;
mod link_rpc;
mod load;
mod rpc_listener;
mod settings_rpc;
mod settings_server;
mod versions;

pub use crash_note::CrashNote;
pub use follow::{Follower, HintSender};
pub use hint::Hint;
pub use link_note::{Hello, LinkNote};
pub use link_rpc::{LinkRpcClient, LinkRpcServer};
pub use load::Load;
pub use rpc_listener::RpcListener;
pub use settings_rpc::{SettingsRpcClient, SettingsRpcServer};
pub use settings_server::SettingsServer;
pub use versions::{Delta, Versions};
