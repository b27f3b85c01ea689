use std::io;
use std::net::SocketAddr;

use jsonrpsee::Methods;
use jsonrpsee::server::{PingConfig, ServerBuilder, ServerConfig, ServerHandle};

const MAX_CONNECTIONS: u32 = 4_096;
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Listener for RPC of the system's own processes.
#[derive(Debug)]
pub struct RpcListener {
    handle: ServerHandle,
    addr: SocketAddr,
}

impl RpcListener {
    /// Listens on an address and serves the methods until closed.
    ///
    /// # Errors
    /// An I/O error if the address can't be listened on.
    pub async fn open(addr: SocketAddr, methods: impl Into<Methods>) -> io::Result<Self> {
        let config = ServerConfig::builder()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .enable_ws_ping(PingConfig::new())
            .build();
        let server = ServerBuilder::with_config(config).build(addr).await?;
        let addr = server.local_addr()?;
        Ok(Self { handle: server.start(methods), addr })
    }

    /// The address that it listens on.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening without waiting for the connections to close.
    pub fn kill(self) {
        self.handle.stop().ok();
    }

    /// Stops listening and closes the connections.
    pub async fn close(self) {
        self.handle.stop().ok();
        self.handle.stopped().await;
    }
}
