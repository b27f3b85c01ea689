use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ebonyusher::net::{CallerBounds, Shutdown, serve};
use tokio::net::TcpListener;
use tokio_util::task::TaskTracker;

use crate::{ControlServer, MemPlatform, PlatformServer};

/// A platform stand-in that serves HTTP.
#[derive(Debug)]
pub struct PlatformNode {
    /// State of the platform.
    pub platform: Arc<MemPlatform>,
    addr: SocketAddr,
    control: SocketAddr,
    stop: Shutdown,
}

impl PlatformNode {
    /// Listens for the processes of the system on `addr` and for fault control on `control`.
    ///
    /// # Errors
    /// If an address can't be listened on.
    pub async fn start(addr: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let platform = Arc::new(MemPlatform::new());
        let stop = Shutdown::default();
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let server = Arc::new(PlatformServer(Arc::clone(&platform)));
        tokio::spawn(serve(
            listener,
            server,
            CallerBounds::default(),
            stop.clone(),
            TaskTracker::new(),
        ));
        let listener = TcpListener::bind(control).await?;
        let control = listener.local_addr()?;
        let server = Arc::new(ControlServer(Arc::clone(&platform)));
        tokio::spawn(serve(
            listener,
            server,
            CallerBounds::default(),
            stop.clone(),
            TaskTracker::new(),
        ));
        Ok(Self { platform, addr, control, stop })
    }

    /// Returns the address for the processes of the system.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address for fault control.
    pub const fn control_addr(&self) -> SocketAddr {
        self.control
    }

    /// Stops both listeners and closes their connections.
    pub fn close(self) {
        self.stop.abrupt.cancel();
    }
}
