//! The process beside an upstream: every request and every order to the upstream passes it.

mod answer_store;
mod cache_watch;
mod call;
mod claim;
mod claim_row;
mod crash_watch;
mod error;
mod group_part;
mod handler;
mod in_flight;
mod link_server;
mod loader;
mod node;
mod permit;
mod queue;
mod queue_state;
mod relay;
mod run;
mod shares;
mod sidecar_body;
mod signals;
mod ticket;
mod upstream;

pub use answer_store::StoredAnswer;
pub use call::Call;
pub use claim::{Claimed, Claims, Held};
pub use claim_row::{ClaimKey, ClaimRow, ClaimState};
pub use error::{ClaimError, NodeError, QueueError, SendError};
pub use handler::SidecarHandler;
pub use loader::LoadOrder;
pub use node::SidecarNode;
pub use permit::Permit;
pub use queue::Queue;
pub use sidecar_body::SidecarBody;
pub use ticket::Ticket;
pub use upstream::Upstream;
