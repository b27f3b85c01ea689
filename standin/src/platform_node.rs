use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ebonyusher::net::{Shutdown, serve};
use tokio::net::TcpListener;
use tokio_util::task::TaskTracker;

use crate::{ControlServer, MemPlatform, PlatformServer};

/// A platform stand-in that listens.
#[derive(Debug)]
pub struct PlatformNode {
    /// The platform itself.
    pub platform: Arc<MemPlatform>,
    addr: SocketAddr,
    control: SocketAddr,
    stop: Shutdown,
}

impl PlatformNode {
    /// Listens for the system on one address and for fault switches on another.
    ///
    /// # Errors
    /// If an address can't be listened on.
    pub async fn start(addr: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let platform = Arc::new(MemPlatform::new());
        let stop = Shutdown::default();
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let server = Arc::new(PlatformServer(Arc::clone(&platform)));
        tokio::spawn(serve(listener, server, stop.clone(), TaskTracker::new()));
        let listener = TcpListener::bind(control).await?;
        let control = listener.local_addr()?;
        let server = Arc::new(ControlServer(Arc::clone(&platform)));
        tokio::spawn(serve(listener, server, stop.clone(), TaskTracker::new()));
        Ok(Self { platform, addr, control, stop })
    }

    /// Where the system connects.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Where faults are switched.
    pub const fn control_addr(&self) -> SocketAddr {
        self.control
    }

    /// Stops listening.
    pub fn close(self) {
        self.stop.abrupt.cancel();
    }
}
