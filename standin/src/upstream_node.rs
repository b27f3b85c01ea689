use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ebonyusher::net::{Handler, Shutdown, serve};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Pause between two tries to listen again on the address of a crashed upstream.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Crashes an upstream from within: its connections break and it comes back after a time.
#[derive(Clone, Debug)]
pub struct CrashTrigger(mpsc::Sender<()>);

impl CrashTrigger {
    /// A way to crash, and its other end.
    pub fn new() -> (Self, mpsc::Receiver<()>) {
        let (sender, receiver) = mpsc::channel(1);
        (Self(sender), receiver)
    }

    /// Crashes now.
    pub fn fire(&self) {
        self.0.try_send(()).ok();
    }
}

/// What an upstream stand-in does on a crash.
pub trait Crashable: Handler {
    /// Forgets what a crash destroys.
    fn clear_volatile_state(&self);
}

/// A stand-in upstream that listens and can crash.
#[derive(Debug)]
pub struct UpstreamNode<H> {
    /// What answers.
    pub handler: Arc<H>,
    addr: SocketAddr,
    stop: CancellationToken,
}

impl<H: Crashable> UpstreamNode<H> {
    /// Listens on an address; after each crash it is back after `restart`.
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

    /// Where it listens.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops it for good.
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
        let _kill = stop.abrupt.clone().drop_guard();
        let serving = serve(listener, Arc::clone(&handler), stop.clone(), TaskTracker::new());
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
