use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use subtle::ConstantTimeEq;

use super::{Delta, SettingsRpcServer, Versions};
use crate::settings::CurrentSettings;

/// JSON-RPC code for a caller without the link key.
const DENIED_CODE: i32 = -32_001;

/// Answers peers that ask for settings.
#[derive(Clone, Debug)]
pub struct SettingsServer {
    current: CurrentSettings,
    key: String,
}

impl SettingsServer {
    /// Serves what is in force in this process to those who know the link key.
    pub const fn new(current: CurrentSettings, key: String) -> Self {
        Self { current, key }
    }

    /// Lets through only those who know the link key.
    ///
    /// # Errors
    /// An error object for the caller.
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
