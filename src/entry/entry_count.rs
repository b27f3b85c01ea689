use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of live entries, among which the accounts' rates are divided.
#[derive(Debug)]
pub(super) struct EntryCount(AtomicUsize);

impl EntryCount {
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
