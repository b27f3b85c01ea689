use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ebonyusher::net::{CallerBounds, Handler, Shutdown, serve};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Interval between two attempts to listen again on the address of a crashed upstream.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Crashes an upstream: its connections break, and it listens again after its restart time.
#[derive(Clone, Debug)]
pub struct CrashTrigger(mpsc::Sender<()>);

impl CrashTrigger {
    /// Creates a trigger, and the receiver that the upstream waits on.
    pub fn new() -> (Self, mpsc::Receiver<()>) {
        let (sender, receiver) = mpsc::channel(1);
        (Self(sender), receiver)
    }

    /// Crashes the upstream; has no effect if a crash is already pending.
    pub fn fire(&self) {
        self.0.try_send(()).ok();
    }
}

/// An upstream stand-in that can crash.
pub trait Crashable: Handler {
    /// Clears the state that a crash destroys.
    fn clear_volatile_state(&self);
}

/// An upstream stand-in that listens, and restarts after crashes.
#[derive(Debug)]
pub struct UpstreamNode<H> {
    /// The handler that answers requests.
    pub handler: Arc<H>,
    addr: SocketAddr,
    stop: CancellationToken,
}

impl<H: Crashable> UpstreamNode<H> {
    /// Listens on an address; after each crash it listens again once `restart` has passed.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub async fn start(
        addr: SocketAddr,
        handler: Arc<H>,
        crashes: mpsc::Receiver<()>,
        restart: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let stop = CancellationToken::new();
        let running = run_with_restarts(listener, addr, Arc::clone(&handler), crashes, restart);
        tokio::spawn(stop.clone().run_until_cancelled_owned(running));
        Ok(Self { handler, addr, stop })
    }

    /// Returns the address that it listens on.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops it; it does not restart.
    pub fn close(self) {
        self.stop.cancel();
    }
}

async fn run_with_restarts<H: Crashable>(
    mut listener: TcpListener,
    addr: SocketAddr,
    handler: Arc<H>,
    mut crashes: mpsc::Receiver<()>,
    restart: Duration,
) {
    loop {
        let stop = Shutdown::default();
        // Closes the connections also when this task is cancelled.
        let _kill = stop.abrupt.clone().drop_guard();
        let serving = serve(
            listener,
            Arc::clone(&handler),
            CallerBounds::default(),
            stop.clone(),
            TaskTracker::new(),
        );
        tokio::select! {
            () = serving => {}
            Some(()) = crashes.recv() => {}
        }
        stop.abrupt.cancel();
        handler.clear_volatile_state();
        sleep(restart).await;
        while crashes.try_recv().is_ok() {}
        listener = rebind(addr).await;
    }
}

async fn rebind(addr: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            return listener;
        }
        sleep(REBIND_INTERVAL).await;
    }
}
