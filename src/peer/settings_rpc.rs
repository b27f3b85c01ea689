use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{Delta, Versions};

/// Lets a process fetch the settings in force in another one.
#[rpc(server, client, namespace = "settings")]
pub trait SettingsRpc {
    /// Returns what the caller lacks, `None` if its revision is not older.
    #[method(name = "newer")]
    async fn newer(&self, key: String, have: Versions) -> Result<Option<Delta>, ErrorObjectOwned>;
}
