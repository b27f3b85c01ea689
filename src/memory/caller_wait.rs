use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use super::MemoryBudget;

/// Minimum number of bytes that count as progress.
const MIN_PROGRESS_BYTES: usize = 8 << 10;
/// What is expected of a caller, divided by the part of it that counts as progress.
const PROGRESS_DIVISOR: usize = 16;

/// Time in which the process waits for a caller, until dropped.
#[derive(Debug)]
pub struct CallerWait {
    budget: MemoryBudget,
    id: u64,
    displaced: CancellationToken,
    /// Bytes that count as progress, and those moved since the last progress.
    progress_bytes: usize,
    moved_bytes: usize,
}

impl CallerWait {
    pub(super) const fn new(budget: MemoryBudget, id: u64, displaced: CancellationToken) -> Self {
        Self { budget, id, displaced, progress_bytes: MIN_PROGRESS_BYTES, moved_bytes: 0 }
    }

    /// Sets how many bytes the caller is expected to move. The more, the faster it must do so.
    pub const fn expect(&mut self, bytes: usize) {
        let part = bytes / PROGRESS_DIVISOR;
        self.progress_bytes = if part > MIN_PROGRESS_BYTES { part } else { MIN_PROGRESS_BYTES };
    }

    /// Records that the caller has sent or taken so many bytes.
    pub fn moved(&mut self, bytes: usize) {
        self.moved_bytes += bytes;
        if self.moved_bytes >= self.progress_bytes {
            self.moved_bytes = 0;
            self.budget.record_progress(self.id);
        }
    }

    /// Completes when the caller has to give way to another one.
    pub fn displaced(&self) -> WaitForCancellationFutureOwned {
        self.displaced.clone().cancelled_owned()
    }
}

impl Drop for CallerWait {
    fn drop(&mut self) {
        self.budget.end_wait(self.id);
    }
}
