//! The entry: the stateless process that callers connect to. It authenticates and limits requests
//! and dispatches them to upstreams through their sidecars.

mod attempt_history;
mod attempt_request;
mod checked_request;
mod dispatch;
mod entry_body;
mod entry_count;
mod failure;
mod fingerprint;
mod forwarded_body;
mod handler;
mod hedge;
mod key_state;
mod latency;
mod limiter;
mod link;
mod link_manager;
mod member;
mod members;
mod node;
mod policies;
mod policy;
mod request_estimate;
mod retry_budget;
mod stream_relay;
mod subset;
mod suspects;
mod suspects_sync;

pub use checked_request::CheckedRequest;
pub use dispatch::Dispatcher;
pub use entry_body::EntryBody;
pub use failure::Failure;
pub use fingerprint::fingerprint;
pub use handler::EntryHandler;
pub use key_state::{KeyState, look_up_key};
pub use latency::Latency;
pub use limiter::{Limiter, LimiterGuard};
pub use member::{Member, MemberStatus};
pub use members::Members;
pub use node::EntryNode;
pub use policies::{LeastInFlight, PowerOfTwoChoices, RandomChoice, RoundRobin};
pub use policy::{Candidate, Policy};
pub use retry_budget::RetryBudget;
pub use subset::pick_subset;
pub use suspects::{QuarantineStatus, Suspects};
