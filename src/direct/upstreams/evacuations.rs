use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// The failure domains whose upstreams get no new requests, because the operator has evacuated them.
#[derive(Debug, Default)]
pub struct Evacuations(Mutex<HashMap<String, Evacuation>>);

/// What is known of the evacuation of one failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// When this entry learned of it.
    pub since: Instant,
    /// Version of the store that last told of it.
    pub version: u64,
    /// Until when it is kept at least, if the store has lost it.
    kept_until: Option<Instant>,
}

impl Evacuations {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Evacuation>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.lock().contains_key(domain)
    }

    /// Returns the number of evacuated failure domains.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Records that a failure domain is evacuated. Returns whether that is new.
    ///
    /// ```
    /// # use ebonyusher::direct::Evacuations;
    /// # use tokio::time::Instant;
    /// let (evacuations, now) = (Evacuations::default(), Instant::now());
    /// assert!(evacuations.evacuate("osu", 7, now));
    /// assert!(!evacuations.evacuate("osu", 8, now));
    /// assert!(evacuations.contains("osu"));
    /// assert!(!evacuations.contains("oita"));
    /// ```
    pub fn evacuate(&self, domain: &str, version: u64, now: Instant) -> bool {
        let mut known = self.lock();
        let since = known.get(domain).map(|evacuation| evacuation.since);
        let evacuation = Evacuation { since: since.unwrap_or(now), version, kept_until: None };
        known.insert(domain.to_owned(), evacuation);
        since.is_none()
    }

    /// Records that a failure domain is no longer evacuated. Returns what was known of the
    /// evacuation, if it was.
    ///
    /// ```
    /// # use ebonyusher::direct::Evacuations;
    /// # use tokio::time::Instant;
    /// let (evacuations, now) = (Evacuations::default(), Instant::now());
    /// evacuations.evacuate("osu", 7, now);
    /// assert!(evacuations.restore("osu").is_some_and(|known| known.version == 7));
    /// assert!(evacuations.restore("osu").is_none());
    /// ```
    pub fn restore(&self, domain: &str) -> Option<Evacuation> {
        self.lock().remove(domain)
    }

    /// Returns the evacuated failure domains that a whole reading of the store does not have.
    pub fn missing(&self, read: &HashSet<&str>) -> Vec<String> {
        let known = self.lock();
        known.keys().filter(|domain| !read.contains(domain.as_str())).cloned().collect()
    }

    /// Keeps the evacuation of a failure domain that the store has lost until `until`, or until an
    /// earlier time that was set before. Returns whether none was set before.
    pub fn keep(&self, domain: &str, until: Instant) -> bool {
        let mut known = self.lock();
        let Some(evacuation) = known.get_mut(domain) else {
            return false;
        };
        let is_first = evacuation.kept_until.is_none();
        evacuation.kept_until.get_or_insert(until);
        is_first
    }

    /// Returns when the first of the evacuations that the store has lost ends.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lock().values().filter_map(|evacuation| evacuation.kept_until).min()
    }

    /// Returns the failure domains whose evacuation the store has lost and that are not to be kept
    /// any longer.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Evacuations;
    /// # use tokio::time::Instant;
    /// let (evacuations, now) = (Evacuations::default(), Instant::now());
    /// evacuations.evacuate("osu", 7, now);
    /// evacuations.keep("osu", now + Duration::from_secs(2));
    /// assert!(evacuations.expired(now).is_empty());
    /// assert_eq!(evacuations.expired(now + Duration::from_secs(2)), ["osu"]);
    /// ```
    pub fn expired(&self, now: Instant) -> Vec<String> {
        let known = self.lock();
        let is_due = |evacuation: &Evacuation| evacuation.kept_until.is_some_and(|at| at <= now);
        let due = known.iter().filter(|(_, evacuation)| is_due(evacuation));
        due.map(|(domain, _)| domain.clone()).collect()
    }
}
