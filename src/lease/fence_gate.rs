use std::sync::{Mutex, PoisonError};

/// Refuses orders with an old fencing token on behalf of an engine that would accept them.
///
/// A process that has just started does not know which tokens are old. It refuses all orders until
/// it has read the token in the lease's row.
#[derive(Debug, Default)]
pub struct FenceGate(Mutex<Option<u64>>);

impl FenceGate {
    /// A gate that admits no order yet.
    pub fn closed() -> Self {
        Self::default()
    }

    /// Opens the gate for the token in the lease's row and greater ones.
    pub fn open(&self, fence: u64) {
        let mut newest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *newest = Some(newest.map_or(fence, |newest| newest.max(fence)));
    }

    /// Returns whether an order with this token is admitted. From then on smaller tokens are
    /// refused.
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
        let mut newest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match newest.as_mut() {
            Some(newest) if fence >= *newest => {
                *newest = fence;
                true
            }
            _ => false,
        }
    }
}
