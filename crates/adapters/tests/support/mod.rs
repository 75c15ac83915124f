//! A peer that answers each connection with fixed bytes, then closes it or stays silent.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the peer does after its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// Closes the connection.
    Close,
    /// Keeps it open and silent.
    Silence,
}

/// Starts a peer; it serves until the test's runtime ends.
pub async fn scripted(answer: impl Into<Vec<u8>>, then: Then) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let answer = answer.into();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer.clone(), then));
        }
    });
    address
}

/// The bytes of a whole response.
pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// The bytes of a streamed response whose body ends with the connection.
pub fn stream(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}")
}

async fn serve(mut stream: TcpStream, answer: Vec<u8>, then: Then) {
    read_request(&mut stream).await;
    // The client may have gone; then there is nothing to answer.
    let _ = stream.write_all(&answer).await;
    if then == Then::Silence {
        std::future::pending::<()>().await;
    }
}

/// Reads until the request's body is there, so that closing does not reset the connection.
async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !is_complete(&bytes) {
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|digits| digits.parse().ok()).unwrap_or(0);
    body.len() >= length
}
