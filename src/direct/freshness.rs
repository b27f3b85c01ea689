use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::units::BootTime;

/// How long ago the settings in force here were certainly the newest ones.
///
/// An answer of the platform shows the state at some moment after its call was sent, so the moment
/// of sending is what counts. It is kept on a clock that runs on while the machine is suspended: a
/// machine that wakes must not take old settings for fresh ones.
#[derive(Debug)]
pub struct Freshness {
    max_age: Option<Duration>,
    confirmed_at: Mutex<Option<BootTime>>,
}

impl Freshness {
    /// Nothing is proven yet. Without a bound the age does not matter.
    pub const fn new(max_age: Option<Duration>) -> Self {
        Self { max_age, confirmed_at: Mutex::new(None) }
    }

    /// Age up to which settings are fresh, if there is a bound.
    pub const fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// Takes in that a call sent at this moment was answered.
    pub fn confirm(&self, sent: BootTime) {
        let mut confirmed_at = self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed_at = (*confirmed_at).max(Some(sent));
    }

    /// Age of the settings, nothing before the first proof.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        let confirmed_at = *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether keys may be judged by the settings in force.
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
