use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time on `CLOCK_BOOTTIME`, which keeps running while the machine is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the current time, or zero if the clock can't be read.
    ///
    /// ```
    /// # use ebonyusher::units::BootTime;
    /// assert!(BootTime::now() <= BootTime::now());
    /// ```
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        Self(time.unwrap_or_default())
    }

    /// Makes the point in time at the given duration after boot.
    pub const fn after_boot(time: Duration) -> Self {
        Self(time)
    }

    /// Returns the time since an earlier point in time, or zero if that one is later.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
