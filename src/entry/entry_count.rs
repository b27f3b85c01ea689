use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of live entries, by which the rate limit of each client account is divided.
#[derive(Debug)]
pub(super) struct EntryCount(AtomicUsize);

impl EntryCount {
    /// Starts with one entry, this one.
    pub(super) const fn new() -> Self {
        Self(AtomicUsize::new(1))
    }

    pub(super) fn set(&self, entries: usize) {
        self.0.store(entries.max(1), Ordering::Relaxed);
    }

    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}
