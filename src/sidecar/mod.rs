//! The sidecar: the process beside an upstream through which every request and every order to the
//! upstream passes.

mod admitted_request;
mod cache_event;
mod cache_watch;
mod claim_row;
mod claims;
mod crash_watch;
mod error;
mod group_member;
mod handler;
mod in_flight;
mod link_server;
mod loader;
mod node;
mod permit;
mod queue;
mod queue_state;
mod relay;
mod request_metadata;
mod shares;
mod sidecar_body;
mod sidecar_context;
mod signals;
mod slot_request;
mod stored_answer;
mod upstream;

pub use claim_row::{ClaimKey, ClaimRow, ClaimState};
pub use claims::{ClaimOutcome, Claims, HeldClaim};
pub use error::{ClaimError, NodeError, QueueError, SendError};
pub use handler::SidecarHandler;
pub use loader::LoadOrder;
pub use node::SidecarNode;
pub use permit::Permit;
pub use queue::Queue;
pub use request_metadata::RequestMetadata;
pub use sidecar_body::SidecarBody;
pub use slot_request::SlotRequest;
pub use stored_answer::StoredAnswer;
pub use upstream::Upstream;
