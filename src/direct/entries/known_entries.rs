use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::units::BootTime;

/// Part of what all entries may spend that those take together that know each other. The rest is for
/// those that don't, and for those that others don't know yet.
const KNOWN_PART: f64 = 0.75;

/// The entries by the rows that each of them has in the platform's table, and the part that this one
/// may take of what all of them together may spend in a window.
///
/// The parts add up to one at most, whoever starts, ends or starts again: an entry takes a part worth
/// mentioning only when its row has stood for a whole window, so that the others know it, and what
/// was spent by the process before it lies outside the window. One that ends stays counted.
#[derive(Debug)]
pub struct KnownEntries {
    /// Name of this entry.
    entry: String,
    /// Maximum number of entries.
    max_entries: f64,
    /// Time in which what is spent counts together.
    window: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    others: HashSet<String>,
    /// When this process first found the row of its entry in the table.
    listed_at: Option<BootTime>,
}

impl KnownEntries {
    /// Creates a record of an entry that knows no others yet.
    pub fn new(entry: &str, max_entries: f64, window: Duration) -> Self {
        let entry = entry.to_owned();
        Self { entry, max_entries, window, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of this entry.
    pub fn name(&self) -> &str {
        &self.entry
    }

    /// Records that the row of an entry is in the table.
    pub fn record(&self, entry: &str, now: BootTime) {
        let mut state = self.lock();
        if entry == self.entry {
            state.listed_at.get_or_insert(now);
        } else if !state.others.contains(entry) {
            state.others.insert(entry.to_owned());
        }
    }

    /// Records that the row of an entry is gone from the table.
    pub fn remove(&self, entry: &str) {
        let mut state = self.lock();
        if entry == self.entry {
            state.listed_at = None;
        } else {
            state.others.remove(entry);
        }
    }

    /// Returns whether the row of this entry is in the table.
    pub fn is_listed(&self) -> bool {
        self.lock().listed_at.is_some()
    }

    /// Returns the number of other entries.
    pub fn others(&self) -> usize {
        self.lock().others.len()
    }

    /// Returns the part that this entry may take of what all entries may spend in a window, from 0
    /// to 1.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::{direct::KnownEntries, units::BootTime};
    /// let at = |s| BootTime::after_boot(Duration::from_secs(s));
    /// let known = KnownEntries::new("entry-1", 500.0, Duration::from_secs(10));
    /// known.record("entry-1", at(100));
    /// known.record("entry-2", at(100));
    /// assert_eq!(known.part(at(109)), 0.25 / 500.0);
    /// assert_eq!(known.part(at(110)), 0.75 / 2.0);
    /// ```
    pub fn part(&self, now: BootTime) -> f64 {
        if self.max_entries <= 1.0 {
            return 1.0;
        }
        let state = self.lock();
        let is_known = state.listed_at.is_some_and(|at| now.since(at) >= self.window);
        if is_known {
            KNOWN_PART / (state.others.len() as f64 + 1.0)
        } else {
            (1.0 - KNOWN_PART) / self.max_entries
        }
    }
}
