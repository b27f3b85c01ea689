use bytes::Bytes;

use super::MemoryLease;

/// Bytes that are held for a caller, and the lease that accounts for them.
#[derive(Debug)]
pub(super) struct LeasedBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl LeasedBytes {
    pub(super) const fn new(bytes: Bytes, lease: MemoryLease) -> Self {
        Self { bytes, _lease: lease }
    }
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
