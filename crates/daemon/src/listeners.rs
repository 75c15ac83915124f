//! Listening sockets of a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket, UdpSocket};

/// How many times another port is requested from the system.
const MAX_PORT_ATTEMPTS: u32 = 16;
/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens for connections, without Nagle's algorithm.
///
/// # Errors
/// The address is taken.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit this on Linux. Without it, Nagle's algorithm (RFC 896) delays each small
    // piece of an answer until the reader's delayed acknowledgement, some 40 ms.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Listens for connections and binds a socket for datagrams at the same port.
///
/// # Errors
/// The address is taken for one of them.
pub(crate) fn listen_to_peers(address: SocketAddr) -> io::Result<(TcpListener, Arc<UdpSocket>)> {
    let mut attempts = 0;
    loop {
        let listener = listen(address)?;
        match bind_datagrams(local_address(&listener, address)) {
            Ok(socket) => return Ok((listener, Arc::new(socket))),
            // The system's choice may be taken for datagrams. Then it chooses another port.
            Err(_) if address.port() == 0 && attempts < MAX_PORT_ATTEMPTS => attempts += 1,
            Err(error) => return Err(error),
        }
    }
}

/// The address of a listener. `configured` may leave the port to the system.
pub(crate) fn local_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
