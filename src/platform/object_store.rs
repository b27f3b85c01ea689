use std::future::Future;

use bytes::Bytes;

use super::ObjectError;

/// The platform's object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object, nothing if it is absent.
    ///
    /// # Errors
    /// [`ObjectError::Unavailable`] if the store does not answer.
    fn read(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, ObjectError>> + Send;

    /// Writes an object whole.
    ///
    /// # Errors
    /// [`ObjectError::Unavailable`] if the store does not answer; the write may have taken effect.
    fn write(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<(), ObjectError>> + Send;
}
