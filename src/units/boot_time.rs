use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A moment on the clock that runs on while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The present moment. Where the clock can't be read, the start of time.
    ///
    /// ```
    /// # use ebonyusher::units::BootTime;
    /// assert!(BootTime::now() <= BootTime::now());
    /// ```
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        Self(time.unwrap_or_default())
    }

    /// A moment so long after the machine's start.
    pub const fn after_boot(time: Duration) -> Self {
        Self(time)
    }

    /// Time since an earlier moment, zero if that is later.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
