use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

/// Max time of any call; most have a shorter limit of their own.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Another sidecar of the group.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Address at which it listens.
    pub addr: SocketAddr,
    /// Client for its calls.
    pub client: HttpClient,
}

/// RPC clients of a group's other sidecars, with their open connections. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct SidecarClients(Arc<Mutex<HashMap<SocketAddr, HttpClient>>>);

impl SidecarClients {
    /// Returns the sidecar at an address; its client is created on first use. `None` if
    /// none can be created.
    pub(super) fn get(&self, addr: SocketAddr) -> Option<Sidecar> {
        let mut clients = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&addr) {
            return Some(Sidecar { addr, client: client.clone() });
        }
        let builder = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT);
        let client = builder.build(format!("http://{addr}")).ok()?;
        clients.insert(addr, client.clone());
        Some(Sidecar { addr, client })
    }
}
