use std::future::Future;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::direct::DirectoryError;

/// Maximum time for which the calls on the topic that is asked about most often wait for changes.
pub(super) const SHORTEST_WAIT: Duration = Duration::from_millis(1_900);
/// Time limit of a call, beyond the time that it waits for changes.
const CALL_TIME: Duration = Duration::from_millis(1_000);
/// Lowest such limit, however soon silence must be noticed.
const MIN_CALL_TIME: Duration = Duration::from_millis(500);
/// Time for the backoff after an unanswered call, and for the next call on a new connection.
const RETRY_TIME: Duration = Duration::from_millis(350);

/// Notices that connections to the platform have gone silent, for all topics of an entry.
///
/// A call that waits for changes looks the same on a silent connection. Connections mostly go silent
/// together, so a call on any topic that goes unanswered ends the waiting calls on all of them: the
/// topic that is asked about most often bounds the time for all.
#[derive(Debug)]
pub(in crate::direct) struct ChannelWatch {
    call_time: Duration,
    unanswered: watch::Sender<()>,
}

impl ChannelWatch {
    /// Creates a watch for entries that must know all that is new within this time after their
    /// connections have gone silent; zero if no such time is stated.
    pub(in crate::direct) fn new(detection: Duration) -> Self {
        let call_time = if detection.is_zero() {
            CALL_TIME
        } else {
            let left = detection.saturating_sub(SHORTEST_WAIT + RETRY_TIME);
            left.clamp(MIN_CALL_TIME, CALL_TIME)
        };
        Self { call_time, unanswered: watch::Sender::new(()) }
    }

    /// Makes a call that waits for changes for this time.
    ///
    /// # Errors
    /// As the call, or [`DirectoryError::Unavailable`] if it, or another one meanwhile, goes
    /// unanswered.
    pub(super) async fn call<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, DirectoryError>>,
    ) -> Result<T, DirectoryError> {
        if wait.is_zero() {
            return self.answered(CALL_TIME, call).await;
        }
        let mut unanswered = self.unanswered.subscribe();
        tokio::select! {
            result = self.answered(wait + self.call_time, call) => result,
            Ok(()) = unanswered.changed() => {
                Err(DirectoryError::Unavailable("another call went unanswered".to_owned()))
            }
        }
    }

    async fn answered<T>(
        &self,
        time_limit: Duration,
        call: impl Future<Output = Result<T, DirectoryError>>,
    ) -> Result<T, DirectoryError> {
        timeout(time_limit, call).await.unwrap_or_else(|_| {
            self.unanswered.send_replace(());
            Err(DirectoryError::Unavailable(format!("no answer within {time_limit:?}")))
        })
    }
}
