use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory for the bodies that are read whole at a time.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Bytes of each body that don't count, so that a few large ones don't keep out the small ones.
const UNCOUNTED_BYTES: usize = 64 << 10;
/// Maximum size of one body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The memory that an entry has for response bodies that are not complete. Clones share it.
///
/// ```
/// # use ebonyusher::direct::BodyMemory;
/// let memory = BodyMemory::default();
/// let mut large = memory.body();
/// assert!(large.grow(16 << 20));
/// assert!(!large.grow(1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct BodyMemory(Arc<AtomicUsize>);

/// The part of the memory that one body takes, until dropped.
#[derive(Debug)]
pub struct BodyShare {
    memory: BodyMemory,
    bytes: usize,
    counted: usize,
}

impl BodyMemory {
    /// Returns the share of a body of which nothing was read yet.
    pub fn body(&self) -> BodyShare {
        BodyShare { memory: self.clone(), bytes: 0, counted: 0 }
    }
}

impl BodyShare {
    /// Takes memory for more bytes, and returns whether there is enough.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.bytes = self.bytes.saturating_add(bytes);
        if self.bytes > MAX_BODY_BYTES {
            return false;
        }
        let counted = self.bytes.saturating_sub(UNCOUNTED_BYTES);
        let more = counted - self.counted;
        self.counted = counted;
        let before = self.memory.0.fetch_add(more, Ordering::Relaxed);
        more == 0 || before + more <= MAX_TOTAL_BYTES
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
