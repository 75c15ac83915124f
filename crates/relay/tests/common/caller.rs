//! A caller on a plain socket. It sees every byte, and whether an answer is complete.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::HANG_TIMEOUT;

/// An answer as it arrived.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether it ended as its head says, and not by the end of the connection.
    pub is_whole: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// One connection of a caller.
pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub async fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("the relay accepts the connection");
        Self { stream, buffer: Vec::new() }
    }

    /// Uses a connection that was opened without a runtime.
    pub fn from_std(connection: std::net::TcpStream) -> Self {
        connection.set_nonblocking(true).expect("a socket can be non-blocking");
        let stream = TcpStream::from_std(connection).expect("a runtime takes the socket");
        Self { stream, buffer: Vec::new() }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the relay accepts the bytes");
    }

    pub async fn call(&mut self, text: &str) -> Reply {
        self.send(text).await;
        self.read_reply().await
    }

    /// Reads the head of an answer.
    pub async fn read_head(&mut self) -> Reply {
        let head = self.take_until("\r\n\r\n").await.expect("the head of an answer");
        let mut lines = head.split("\r\n");
        let status = lines.next().and_then(|line| line.split(' ').nth(1)).expect("a status code");
        let status = status.parse().expect("a numeric value");
        let headers = lines.filter_map(|line| line.split_once(": "));
        let headers = headers.map(|(name, value)| (name.into(), value.into())).collect();
        Reply { status, headers, ..Reply::default() }
    }

    pub async fn read_reply(&mut self) -> Reply {
        let mut reply = self.read_head().await;
        if let Some(length) = reply.header("content-length") {
            let length = length.parse().expect("a numeric value");
            reply.body = self.take(length).await.unwrap_or_default();
            reply.is_whole = reply.body.len() == length;
            return reply;
        }
        while let Some(chunk) = self.read_chunk().await {
            if chunk.is_empty() {
                reply.is_whole = true;
                break;
            }
            reply.body.push_str(&chunk);
        }
        reply
    }

    /// Reads the next chunk: empty at the end of the body, none if the connection ends before.
    pub async fn read_chunk(&mut self) -> Option<String> {
        let line = self.take_until("\r\n").await?;
        let length = usize::from_str_radix(&line, 16).expect("the length of a chunk");
        let chunk = self.take(length).await?;
        self.take(2).await?;
        Some(chunk)
    }

    /// Whether the relay closes the connection without another byte.
    pub async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.fill().await
    }

    /// Reads everything. Returns whether the relay closes the connection in good order, and does not reset it.
    pub async fn read_to_orderly_end(&mut self) -> bool {
        let read = timeout(HANG_TIMEOUT, self.stream.read_to_end(&mut self.buffer)).await;
        read.expect("the relay sends bytes or closes in time").is_ok()
    }

    async fn take_until(&mut self, end: &str) -> Option<String> {
        loop {
            let found = self.buffer.windows(end.len()).position(|bytes| bytes == end.as_bytes());
            if let Some(position) = found {
                let text = self.take(position).await;
                self.take(end.len()).await;
                return text;
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn take(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            if !self.fill().await {
                return None;
            }
        }
        let rest = self.buffer.split_off(length);
        let taken = std::mem::replace(&mut self.buffer, rest);
        Some(String::from_utf8(taken).expect("valid UTF-8"))
    }

    async fn fill(&mut self) -> bool {
        let read = timeout(HANG_TIMEOUT, self.stream.read_buf(&mut self.buffer)).await;
        matches!(read.expect("the relay sends bytes or closes in time"), Ok(count) if count > 0)
    }
}

/// Builds a request with an attempt id and further header lines.
pub fn post(attempt: &str, lines: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /a/b?c=%2F HTTP/1.1\r\nHost: host.example\r\nX-Attempt: {attempt}\r\n{lines}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends one request on its own connection.
pub async fn call(address: SocketAddr, text: &str) -> Reply {
    Caller::new(address).await.call(text).await
}
