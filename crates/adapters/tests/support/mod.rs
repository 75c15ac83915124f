//! A peer that answers each connection with fixed bytes, then closes it or leaves it open.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the peer does after it has sent its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAnswer {
    /// Closes the connection.
    Close,
    /// Keeps the connection open and sends nothing.
    StayIdle,
}

/// Starts a peer; it serves until the test's runtime ends.
pub async fn spawn_peer(answer: impl Into<Vec<u8>>, after: AfterAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let answer = answer.into();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer.clone(), after));
        }
    });
    address
}

/// Builds the bytes of a complete response.
pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Builds the bytes of a streamed response whose body ends when the connection closes.
pub fn streamed_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}")
}

async fn serve(mut stream: TcpStream, answer: Vec<u8>, after: AfterAnswer) {
    read_request(&mut stream).await;
    // The client may have closed the connection, which is not an error here.
    let _ = stream.write_all(&answer).await;
    if after == AfterAnswer::StayIdle {
        std::future::pending::<()>().await;
    }
}

/// Reads until the request's body has arrived, so that closing does not reset the connection.
async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !is_request_complete(&bytes) {
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

fn is_request_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|digits| digits.parse().ok()).unwrap_or(0);
    body.len() >= length
}
