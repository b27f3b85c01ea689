use std::future::Future;

use bytes::Bytes;

use super::ObjectError;

/// The platform's object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object, `None` if it is absent.
    ///
    /// # Errors
    /// [`ObjectError::Unavailable`] if the store does not respond or refuses the read.
    fn read(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, ObjectError>> + Send;

    /// Replaces an object as a whole.
    ///
    /// # Errors
    /// [`ObjectError::Unavailable`] if the store does not respond or refuses the write; the write
    /// may have taken effect.
    fn write(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<(), ObjectError>> + Send;
}
