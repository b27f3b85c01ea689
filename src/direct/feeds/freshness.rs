use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::units::BootTime;

/// Age of the last confirmation that the settings in force are the newest ones.
///
/// A response of the platform shows its state at some time after the call was sent, so the age
/// counts from the sending of the call. It is measured on a clock that continues while the machine
/// is suspended, so that a machine that resumes does not take old settings for fresh ones.
#[derive(Debug)]
pub struct Freshness {
    max_age: Option<Duration>,
    confirmed_at: Mutex<Option<BootTime>>,
}

impl Freshness {
    /// Creates an unconfirmed state. Without `max_age`, confirmed settings stay fresh forever.
    pub const fn new(max_age: Option<Duration>) -> Self {
        Self { max_age, confirmed_at: Mutex::new(None) }
    }

    /// Age up to which settings are fresh, if it is limited.
    pub const fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// Records that a call sent at this time has confirmed the settings in force.
    pub fn confirm(&self, sent: BootTime) {
        let mut confirmed_at = self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed_at = (*confirmed_at).max(Some(sent));
    }

    /// Returns the time since the last confirmed call was sent, or `None` before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        let confirmed_at = *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns whether the settings in force are fresh enough to check API keys against them.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::{direct::Freshness, units::BootTime};
    /// let at = |s| BootTime::after_boot(Duration::from_secs(s));
    /// let freshness = Freshness::new(Some(Duration::from_secs(5)));
    /// assert!(!freshness.is_fresh(at(100)));
    /// freshness.confirm(at(100));
    /// assert!(freshness.is_fresh(at(104)));
    /// assert!(!freshness.is_fresh(at(106)));
    /// ```
    pub fn is_fresh(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| self.max_age.is_none_or(|max_age| age < max_age))
    }
}
