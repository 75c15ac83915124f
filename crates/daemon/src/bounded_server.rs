//! Serves HTTP at addresses that are not for callers, such as those of metrics and readiness. Nothing keeps
//! others from them, so connections have a limit: when another one comes, the oldest is closed. Those whom
//! the address is for ask and are answered at once, so theirs is seldom the oldest.

use std::collections::VecDeque;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Most connections at one address.
const MAX_CONNECTIONS: usize = 64;
/// How long a connection may take for the head of its next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of the longest head.
const MAX_HEAD_BYTES: usize = 8_192;
/// How long a listener waits after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves each connection with a service of its own until the process ends. `part` is the part of the process
/// in logs.
pub async fn serve<S>(
    listener: TcpListener,
    part: &'static str,
    service: impl Fn(SocketAddr) -> S + Send,
) where
    S: HttpService<Incoming> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::ResBody: Send + 'static,
    <S::ResBody as Body>::Data: Send,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                make_room(&mut open);
                let serving = tokio::spawn(serve_connection(stream, service(peer)));
                open.push_back(serving.abort_handle());
            }
            Err(error) => {
                log::warn!(target: part, cause:% = error; "Accepting a connection failed.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn make_room(open: &mut VecDeque<AbortHandle>) {
    if open.len() < MAX_CONNECTIONS {
        return;
    }
    open.retain(|connection| !connection.is_finished());
    if open.len() >= MAX_CONNECTIONS
        && let Some(oldest) = open.pop_front()
    {
        oldest.abort();
    }
}

async fn serve_connection<S>(stream: TcpStream, service: S)
where
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::ResBody: 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // A peer that disconnects or takes too long needs no answer.
    let _ = serving.await;
}
