use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{Hello, LinkReport};

/// Calls that a sidecar offers to entries.
#[rpc(server, client, namespace = "link")]
pub trait LinkRpc {
    /// Opens a link: the sidecar reports its load and every change until the link is closed.
    #[subscription(name = "open" => "note", unsubscribe = "close", item = LinkReport)]
    async fn open(&self, hello: Hello) -> SubscriptionResult;

    /// Announces a revision of the settings, which can be fetched from the calling entry.
    #[method(name = "revision")]
    async fn revision(&self, hello: Hello, revision: u64) -> Result<(), ErrorObjectOwned>;

    /// Stops new requests at this sidecar, or allows them again.
    #[method(name = "drain")]
    async fn drain(&self, hello: Hello, drain: bool) -> Result<(), ErrorObjectOwned>;
}
