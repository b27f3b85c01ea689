//! Finds the requests that crash the upstreams that run them, and shares them among entries.

mod completions;
mod crash;
mod crash_record;
mod crash_recorder;
mod crash_rows;
mod crash_set;
mod crash_sharing;
mod crashes;
mod hex;
mod shared_crashes;
mod survivals;
mod trial;
mod upstream_suspects;

pub use crash::Crash;
pub(super) use crash::SuspectedAttempt;
pub(super) use crash_record::MAX_CRASHES;
pub use crash_record::{CrashStatus, Quarantine};
pub(super) use crash_recorder::{CrashRecorder, CrashSign};
pub use crash_set::CrashSet;
pub(super) use crash_sharing::CrashSharing;
pub use crashes::Crashes;
pub(super) use hex::hex;
pub use shared_crashes::SharedCrashes;
pub use survivals::Survivals;
pub(super) use trial::{TrialClaim, Trials};
pub(super) use upstream_suspects::UpstreamSuspects;
