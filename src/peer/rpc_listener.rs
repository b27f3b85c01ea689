use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::server::{
    PingConfig, ServerBuilder, ServerConfig, ServerConfigBuilder, ServerHandle, stop_channel,
};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::rpc_handler::{MAX_MESSAGE_BYTES, RpcHandler};
use crate::net::{CallerBounds, Shutdown, listen, serve};
use crate::settings::Machine;

/// Maximum number of sessions of WebSocket and of calls in flight.
const MAX_SESSIONS: u32 = 1_024;
/// Maximum size of a message of a session. Long ones come as calls.
const MAX_SESSION_MESSAGE_BYTES: u32 = 16 << 10;
const MAX_RESPONSE_BYTES: u32 = 16 << 20;
/// Maximum wait at close for the connections to end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Listener for RPC of the system's own processes.
#[derive(Debug)]
pub struct RpcListener {
    handle: ServerHandle,
    shutdown: Shutdown,
    tasks: TaskTracker,
    addr: SocketAddr,
    bounds: CallerBounds,
}

impl RpcListener {
    /// Listens on an address and serves the methods until closed. What callers may take is bounded
    /// by the machine.
    ///
    /// # Errors
    /// An I/O error if the address can't be listened on.
    pub async fn open(
        addr: SocketAddr,
        methods: impl Into<Methods>,
        machine: &Machine,
    ) -> io::Result<Self> {
        let listener = listen(addr)?;
        let addr = listener.local_addr()?;
        let (stop, handle) = stop_channel();
        let methods = methods.into();
        let calls = config().max_request_body_size(MAX_MESSAGE_BYTES as u32).http_only().build();
        let sessions = config().max_request_body_size(MAX_SESSION_MESSAGE_BYTES).ws_only().build();
        let [calls, sessions] = [calls, sessions].map(|config: ServerConfig| {
            let (builder, methods, stop) = (
                ServerBuilder::with_config(config).to_service_builder(),
                methods.clone(),
                stop.clone(),
            );
            move || builder.clone().build(methods.clone(), stop.clone())
        });
        let bounds = CallerBounds::of(machine);
        let handler = Arc::new(RpcHandler { calls, sessions, bounds: bounds.clone() });
        let (shutdown, tasks) = (Shutdown::default(), TaskTracker::new());
        tokio::spawn(serve(listener, handler, bounds.clone(), shutdown.clone(), tasks.clone()));
        Ok(Self { handle, shutdown, tasks, addr, bounds })
    }

    /// The address that it listens on.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What bounds its callers.
    pub const fn bounds(&self) -> &CallerBounds {
        &self.bounds
    }

    /// Stops listening and closes the connections at once.
    pub fn kill(self) {
        self.handle.stop().ok();
        self.shutdown.abrupt.cancel();
    }

    /// Stops listening, and closes the connections after their calls in flight.
    pub async fn close(self) {
        self.handle.stop().ok();
        self.shutdown.graceful.cancel();
        self.tasks.close();
        timeout(CLOSE_TIMEOUT, self.tasks.wait()).await.ok();
        self.shutdown.abrupt.cancel();
    }
}

fn config() -> ServerConfigBuilder {
    ServerConfig::builder()
        .max_connections(MAX_SESSIONS)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .enable_ws_ping(PingConfig::new())
}
