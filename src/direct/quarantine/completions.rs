use std::sync::{Mutex, PoisonError};

/// Number of requests whose last completion is kept. One takes the place of another by chance.
const SLOTS: usize = 4_096;

/// When requests last ran to their end at this entry, by fingerprint.
#[derive(Debug)]
pub(in crate::direct) struct Completions(Mutex<Vec<Completion>>);

#[derive(Clone, Copy, Debug, Default)]
struct Completion {
    fingerprint: u64,
    /// Unix time in milliseconds.
    at: u64,
}

impl Default for Completions {
    fn default() -> Self {
        Self(Mutex::new(vec![Completion::default(); SLOTS]))
    }
}

impl Completions {
    /// Records that a request ran to its end.
    pub(in crate::direct) fn record(&self, fingerprint: u64, at: u64) {
        let mut slots = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        slots[slot(fingerprint)] = Completion { fingerprint, at };
    }

    /// Returns the Unix time in milliseconds at which a request last ran to its end, if known.
    pub(in crate::direct) fn last(&self, fingerprint: u64) -> Option<u64> {
        let slots = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let found = slots[slot(fingerprint)];
        (found.fingerprint == fingerprint && found.at > 0).then_some(found.at)
    }
}

fn slot(fingerprint: u64) -> usize {
    // The remainder is less than the number of slots, so it fits.
    (fingerprint % SLOTS as u64) as usize
}
