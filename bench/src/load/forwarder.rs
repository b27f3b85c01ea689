use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ebonyusher_standin::loopback;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16 << 10;

/// What a network path does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// Passes everything on.
    Open,
    /// Passes nothing on, and says nothing.
    Cut,
    /// Passes everything on, so much later.
    Delayed(Duration),
}

/// A network path between two nodes that can be cut or delayed.
#[derive(Clone, Debug)]
pub struct Forwarder {
    addr: SocketAddr,
    path: Arc<watch::Sender<PathState>>,
}

impl Forwarder {
    /// Listens and passes on to an address.
    ///
    /// # Errors
    /// If no port can be had.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let path = Arc::new(watch::Sender::new(PathState::Open));
        let reader = path.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, to, reader.clone()));
            }
        });
        Ok(Self { addr, path })
    }

    /// Where it listens.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what it does.
    pub fn set(&self, path: PathState) {
        self.path.send_replace(path);
    }
}

async fn join(near: TcpStream, to: SocketAddr, mut path: watch::Receiver<PathState>) {
    wait_open(&mut path).await;
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    near.set_nodelay(true).ok();
    far.set_nodelay(true).ok();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(copy(near_read, far_write, path.clone()), copy(far_read, near_write, path));
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut path: watch::Receiver<PathState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await {
        let late = match *path.borrow() {
            PathState::Delayed(time) => time,
            PathState::Open | PathState::Cut => Duration::ZERO,
        };
        sleep(late).await;
        wait_open(&mut path).await;
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn wait_open(path: &mut watch::Receiver<PathState>) {
    path.wait_for(|path| *path != PathState::Cut).await.ok();
}
