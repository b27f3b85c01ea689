use tokio::time::Instant;

use crate::direct::OtherEntriesLoad;

/// Load that an upstream reports in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run at a time.
    pub slots: u32,
}

/// A load report with what this entry knew as it arrived.
#[derive(Clone, Copy, Debug)]
pub(in crate::direct) struct LoadReport {
    pub(in crate::direct) load: Load,
    pub(in crate::direct) at: Instant,
    /// Requests of this entry that were in flight when the report arrived, and which the report
    /// therefore counts.
    pub(in crate::direct) own: u32,
}

impl Load {
    /// Parses the three numbers of a load header.
    ///
    /// ```
    /// # use ebonyusher::direct::Load;
    /// let load = Load { running: 3, waiting: 0, slots: 8 };
    /// assert_eq!(Load::parse("3,0,8"), Some(load));
    /// assert_eq!(Load::parse("3,0"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
        let load =
            Self { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? };
        numbers.next().is_none().then_some(load)
    }
}

impl Load {
    /// Returns whether nothing runs or waits.
    pub const fn is_idle(self) -> bool {
        self.running == 0 && self.waiting == 0
    }
}

impl LoadReport {
    /// Returns the part of the reported load that other entries cause.
    pub(in crate::direct) fn others(&self, now: Instant) -> OtherEntriesLoad {
        let reported = self.load.running + self.load.waiting;
        OtherEntriesLoad {
            requests: f64::from(reported.saturating_sub(self.own)),
            age: now.saturating_duration_since(self.at),
        }
    }
}
