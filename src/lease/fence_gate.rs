use std::sync::{Mutex, PoisonError};

/// Refuses orders with an old fencing number on behalf of an engine that would take them.
///
/// A process that has just started does not know which numbers are old. It refuses all orders
/// until it has read the number in the lease's row.
#[derive(Debug, Default)]
pub struct FenceGate(Mutex<Option<u64>>);

impl FenceGate {
    /// A gate that lets nothing through yet.
    pub fn closed() -> Self {
        Self::default()
    }

    /// Opens the gate for the number in the lease's row and greater ones.
    pub fn open(&self, fence: u64) {
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *seen = Some(seen.map_or(fence, |seen| seen.max(fence)));
    }

    /// Whether an order with this number may pass. A greater number shuts out all smaller ones.
    ///
    /// ```
    /// # use ebonyusher::lease::FenceGate;
    /// let gate = FenceGate::closed();
    /// assert!(!gate.admit(4));
    /// gate.open(3);
    /// assert!(gate.admit(4));
    /// assert!(!gate.admit(3));
    /// ```
    pub fn admit(&self, fence: u64) -> bool {
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match seen.as_mut() {
            Some(seen) if fence >= *seen => {
                *seen = fence;
                true
            }
            _ => false,
        }
    }
}
