use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Crashes from which on a request is held back.
const CRASHES_TO_HOLD: u32 = 3;
/// How long a request is held back at first, doubled with each further crash.
const FIRST_HOLD: Duration = Duration::from_secs(20);
const LONGEST_HOLD: Duration = Duration::from_secs(600);
/// Crashes of one moment count once: a failure domain that goes takes several upstreams with it, and
/// no request is to blame.
const MOMENT: Duration = Duration::from_secs(1);
/// Requests remembered before the oldest are dropped.
const MAX_PRINTS: usize = 4_096;

/// Requests that were in flight at upstreams as these crashed, by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    prints: Mutex<HashMap<u64, Sightings>>,
}

#[derive(Clone, Copy, Debug)]
struct Sightings {
    crashes: u32,
    last: Instant,
}

impl Crashes {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sightings>> {
        self.prints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a crash of an upstream that ran the request, and gives the number of crashes, or
    /// nothing if it counts with one before.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Crashes;
    /// # use tokio::time::Instant;
    /// let crashes = Crashes::default();
    /// let at = |s| Instant::now() + Duration::from_secs(s);
    /// assert_eq!(crashes.note(7, at(0)), Some(1));
    /// assert_eq!(crashes.note(7, at(0)), None);
    /// assert_eq!(crashes.note(7, at(3)), Some(2));
    /// assert_eq!(crashes.held_for(7, at(3)), None);
    /// assert_eq!(crashes.note(7, at(6)), Some(3));
    /// assert!(crashes.held_for(7, at(7)).is_some());
    /// assert_eq!(crashes.held_for(7, at(30)), None);
    /// ```
    pub fn note(&self, print: u64, now: Instant) -> Option<u32> {
        let mut prints = self.lock();
        let known = prints.get(&print).copied();
        if known.is_some_and(|known| now.saturating_duration_since(known.last) < MOMENT) {
            return None;
        }
        let crashes = known.map_or(0, |known| known.crashes) + 1;
        insert(&mut prints, print, Sightings { crashes, last: now });
        Some(crashes)
    }

    /// Takes in how many crashes all entries together know of.
    pub fn learn(&self, print: u64, crashes: u32, now: Instant) {
        let mut prints = self.lock();
        if prints.get(&print).is_none_or(|known| known.crashes < crashes) {
            insert(&mut prints, print, Sightings { crashes, last: now });
        }
    }

    /// Takes in that the request has run to its end. Tells whether it was suspected.
    pub fn clear(&self, print: u64) -> bool {
        self.lock().remove(&print).is_some()
    }

    /// How long the request is still to be held back, if it is.
    pub fn held_for(&self, print: u64, now: Instant) -> Option<Duration> {
        let known = self.lock().get(&print).copied()?;
        let doublings = known.crashes.checked_sub(CRASHES_TO_HOLD)?;
        let hold = FIRST_HOLD.saturating_mul(1 << doublings.min(5)).min(LONGEST_HOLD);
        hold.checked_sub(now.saturating_duration_since(known.last)).filter(|left| !left.is_zero())
    }
}

fn insert(prints: &mut HashMap<u64, Sightings>, print: u64, sightings: Sightings) {
    if prints.len() >= MAX_PRINTS {
        let oldest = prints.iter().min_by_key(|(_, known)| known.last).map(|(print, _)| *print);
        oldest.map(|print| prints.remove(&print));
    }
    prints.insert(print, sightings);
}
