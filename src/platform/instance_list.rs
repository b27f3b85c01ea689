use std::future::Future;

use super::{Instance, ListError};

/// The platform's list of live and leaving instances. It lags behind the real state.
pub trait InstanceList: Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    /// [`ListError::Unavailable`] if the platform does not respond or its list can't be read.
    fn list(&self) -> impl Future<Output = Result<Vec<Instance>, ListError>> + Send;
}
