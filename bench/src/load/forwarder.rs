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

/// State of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// Forwards all bytes.
    Open,
    /// Forwards no bytes; connections stay open without an error.
    Cut,
    /// Forwards all bytes after a delay.
    Delayed(Duration),
}

/// TCP proxy that stands for the network path between two nodes and can cut or delay it.
#[derive(Clone, Debug)]
pub struct Forwarder {
    addr: SocketAddr,
    state: Arc<watch::Sender<PathState>>,
}

impl Forwarder {
    /// Listens on loopback and forwards connections to an address.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(PathState::Open));
        let reader = state.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, to, reader.clone()));
            }
        });
        Ok(Self { addr, state })
    }

    /// Address on which it listens.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the state of the path, for open connections too.
    pub fn set(&self, new_state: PathState) {
        self.state.send_replace(new_state);
    }
}

async fn relay(client: TcpStream, to: SocketAddr, mut state: watch::Receiver<PathState>) {
    wait_open(&mut state).await;
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, state.clone()),
        copy(server_read, client_write, state)
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<PathState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await {
        let delay = match *state.borrow() {
            PathState::Delayed(delay) => delay,
            PathState::Open | PathState::Cut => Duration::ZERO,
        };
        sleep(delay).await;
        wait_open(&mut state).await;
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn wait_open(state: &mut watch::Receiver<PathState>) {
    state.wait_for(|state| *state != PathState::Cut).await.ok();
}
