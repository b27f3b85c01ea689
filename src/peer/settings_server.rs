use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use subtle::ConstantTimeEq;

use super::{Delta, SettingsRpcServer, Versions};
use crate::settings::CurrentSettings;

/// JSON-RPC error code for a call with a wrong link key.
const DENIED_CODE: i32 = -32_001;

/// Serves the settings in force to peers.
#[derive(Clone, Debug)]
pub struct SettingsServer {
    current: CurrentSettings,
    key: String,
}

impl SettingsServer {
    /// Creates a server of the settings in force in this process, for peers that know the link key.
    pub const fn new(current: CurrentSettings, key: String) -> Self {
        Self { current, key }
    }

    /// Checks the link key of a call, in constant time.
    ///
    /// # Errors
    /// An error object for the caller if the key is wrong.
    pub fn authorize(&self, key: &str) -> Result<(), ErrorObjectOwned> {
        if bool::from(self.key.as_bytes().ct_eq(key.as_bytes())) {
            return Ok(());
        }
        Err(ErrorObjectOwned::owned(DENIED_CODE, "the link key is wrong", None::<()>))
    }
}

#[async_trait]
impl SettingsRpcServer for SettingsServer {
    async fn newer(&self, key: String, have: Versions) -> Result<Option<Delta>, ErrorObjectOwned> {
        self.authorize(&key)?;
        Ok(Delta::between(&self.current.get(), &have))
    }
}
