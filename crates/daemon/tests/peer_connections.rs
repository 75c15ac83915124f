//! Connections between daemons detect a peer that stops answering.

use std::net::TcpStream as StdStream;
use std::os::fd::AsFd;

use dahlia_daemon::frames::{FrameStream, UNACKNOWLEDGED_TIMEOUT};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Loopback loses no packets, so only the socket options can be checked here. The users' bench checks
/// their effect with losses of power.
#[tokio::test]
async fn unacknowledged_bytes_break_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let same_socket = StdStream::from(stream.as_fd().try_clone_to_owned().unwrap());
    let _frames = FrameStream::new(stream, address);
    let socket = SockRef::from(&same_socket);
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(UNACKNOWLEDGED_TIMEOUT));
    assert!(socket.keepalive().unwrap());
    assert!(socket.tcp_nodelay().unwrap());
}
