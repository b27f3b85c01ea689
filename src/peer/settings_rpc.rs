use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{Delta, Versions};

/// Every process gives the settings that it has in force to any other.
#[rpc(server, client, namespace = "settings")]
pub trait SettingsRpc {
    /// What the asker lacks; nothing if its revision is as great.
    #[method(name = "newer")]
    async fn newer(&self, key: String, have: Versions) -> Result<Option<Delta>, ErrorObjectOwned>;
}
