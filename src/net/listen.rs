use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Size of the buffers in which the kernel keeps what was received and not read, or written and not
/// received. It takes up to twice as much for each.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
const SEND_BUFFER_BYTES: u32 = 32 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address for callers, whose connections have buffers of a fixed size.
///
/// # Errors
/// If the address can't be bound.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap().block_on(async {
/// let listener = ebonyusher::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// # });
/// ```
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Without them the buffers are larger, but connections work.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok();
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).ok();
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
