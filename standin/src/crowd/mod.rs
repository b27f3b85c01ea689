//! Callers that don't behave, and what a process holds while they call.

mod caller;
mod process_usage;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

pub use caller::{Behavior, CrowdRequest};
pub use process_usage::{PeakUsage, ProcessUsage};

use caller::{Activity, CrowdCaller};

/// Interval at which callers are asked whether they still make progress.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without progress of any caller after which all have sent what they can. A connection that
/// found the queue of the listener full is tried again after a second.
const QUIET_TIME: Duration = Duration::from_millis(2_500);

/// Callers that send the same request in the same way, and stay connected for as long as they can.
#[derive(Debug)]
pub struct Crowd {
    callers: JoinSet<()>,
    activity: Activity,
    leave: CancellationToken,
}

impl Crowd {
    /// Starts callers of an address.
    pub fn start(count: usize, addr: SocketAddr, request: &CrowdRequest) -> Self {
        let (mut callers, activity) = (JoinSet::new(), Activity::default());
        let leave = CancellationToken::new();
        for _ in 0..count {
            let caller = CrowdCaller { addr, request: request.clone(), activity: activity.clone() };
            let leave = leave.clone();
            callers.spawn(async move {
                leave.run_until_cancelled(caller.run()).await;
            });
        }
        Self { callers, activity, leave }
    }

    /// Waits until the callers have sent what they can, at most for a time.
    pub async fn settled(&self, max_time: Duration) {
        let settled = async {
            while self.activity.quiet_for() < QUIET_TIME {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(max_time, settled).await.ok();
    }

    /// Returns how many bytes all callers have sent.
    pub fn sent_bytes(&self) -> u64 {
        self.activity.sent_bytes()
    }

    /// Closes all connections, in no particular order.
    pub async fn close(mut self) {
        self.leave.cancel();
        while self.callers.join_next().await.is_some() {}
    }
}
