use std::future::Future;
use std::io;

use ebonyusher_standin::FleetError;
use tokio::runtime::{Builder, Runtime};

/// Node on a runtime of its own, so that it can be killed abruptly.
#[derive(Debug)]
pub struct IsolatedNode<N> {
    /// The node, `None` once it is closed or killed.
    pub node: Option<N>,
    runtime: Option<Runtime>,
}

impl<N: Send + 'static> IsolatedNode<N> {
    /// Starts a node on a thread of the given name, of at most 15 characters: Linux cuts longer
    /// names off.
    ///
    /// # Errors
    /// [`FleetError`] if the node can't start.
    pub async fn start(
        thread: &str,
        starting: impl Future<Output = Result<N, FleetError>> + Send + 'static,
    ) -> Result<Self, FleetError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(thread)
            .enable_all()
            .build()?;
        let started = runtime.spawn(starting).await;
        let node = started.map_err(|err| io::Error::other(err.to_string()))??;
        Ok(Self { node: Some(node), runtime: Some(runtime) })
    }

    /// Kills the node abruptly: its tasks stop without a graceful shutdown.
    pub fn kill(&mut self) {
        self.node = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Shuts the node down gracefully on its own runtime.
    pub async fn close<F>(&mut self, close: impl FnOnce(N) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if let (Some(node), Some(runtime)) = (self.node.take(), &self.runtime) {
            runtime.spawn(close(node)).await.ok();
        }
        self.kill();
    }
}

impl<N> Drop for IsolatedNode<N> {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
