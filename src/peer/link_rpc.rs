use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{Hello, LinkReport};

/// What a sidecar offers to entries.
#[rpc(server, client, namespace = "link")]
pub trait LinkRpc {
    /// Opens a link: the sidecar tells of its load and of every change until the link closes.
    #[subscription(name = "open" => "note", unsubscribe = "close", item = LinkReport)]
    async fn open(&self, hello: Hello) -> SubscriptionResult;

    /// Tells that a revision of the settings exists and where it can be had.
    #[method(name = "revision")]
    async fn revision(&self, hello: Hello, revision: u64) -> Result<(), ErrorObjectOwned>;

    /// Stops new work at this sidecar, or allows it again.
    #[method(name = "drain")]
    async fn drain(&self, hello: Hello, drain: bool) -> Result<(), ErrorObjectOwned>;
}
