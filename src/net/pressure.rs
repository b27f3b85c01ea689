use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use super::CallerBounds;

/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How much callers take of a process, and how often it was too much. Counts are since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Pressure {
    /// Bytes that are held for callers.
    pub held_bytes: usize,
    /// Number of requests for which there was no memory.
    pub no_memory: u64,
    /// Number of callers that lost what was held for them, since they made no progress.
    pub gave_way: u64,
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections that were closed at once.
    pub connections_refused: u64,
    /// Number of connections that were closed for others, since they waited for their callers.
    pub connections_closed: u64,
}

impl CallerBounds {
    /// Returns how much callers take.
    ///
    /// ```
    /// # use ebonyusher::net::{CallerBounds, Pressure};
    /// assert_eq!(CallerBounds::default().pressure(), Pressure::default());
    /// ```
    pub fn pressure(&self) -> Pressure {
        let (memory, connections) = (self.memory.usage(), self.connections.usage());
        Pressure {
            held_bytes: memory.held,
            no_memory: memory.refused,
            gave_way: memory.displaced,
            connections: connections.open,
            connections_refused: connections.refused,
            connections_closed: connections.displaced,
        }
    }

    /// Reports each time that callers take too much, at most once a second.
    pub async fn report(self, on_pressure: impl Fn(&Pressure)) {
        loop {
            tokio::select! {
                () = self.memory.used_up() => {}
                () = self.connections.used_up() => {}
            }
            sleep(REPORT_INTERVAL).await;
            on_pressure(&self.pressure());
        }
    }
}
