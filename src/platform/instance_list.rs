use std::future::Future;

use super::{Instance, ListError};

/// The platform's list of live and leaving instances. It lags.
pub trait InstanceList: Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    /// [`ListError::Unavailable`] if the platform does not answer.
    fn list(&self) -> impl Future<Output = Result<Vec<Instance>, ListError>> + Send;
}
