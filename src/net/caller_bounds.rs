use std::time::Duration;

use tokio::time::sleep;

use super::{ConnectionLimit, Pressure};
use crate::memory::MemoryBudget;
use crate::settings::Machine;

/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What bounds the callers of a process in sum. Clones share it. The default bounds nothing.
#[derive(Clone, Debug)]
pub struct CallerBounds {
    /// What may be held for them.
    pub memory: MemoryBudget,
    /// Number of their connections.
    pub connections: ConnectionLimit,
}

impl CallerBounds {
    /// Returns the bounds of a process on a machine.
    pub fn of(machine: &Machine) -> Self {
        let memory = MemoryBudget::new(machine.budget());
        Self { memory, connections: ConnectionLimit::new(machine.connections()) }
    }

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
            connections_late: connections.late,
            too_large: connections.too_large,
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

impl Default for CallerBounds {
    fn default() -> Self {
        Self { memory: MemoryBudget::unbounded(), connections: ConnectionLimit::new(usize::MAX) }
    }
}
