//! Callers' HTTP: validation, routing to the owner, and the answer's way back.
//!
//! | module | job |
//! |---|---|
//! | `chat` | `POST /v1/chat/completions` |
//! | `answers` | reading on from an offset, and closing a program |
//! | `source` | where an answer is read: here or at another daemon |
//! | `follow` | following an answer at its owner across fail-over |
//! | `body` | a request's body, within its limits |
//! | `head` | limits on a request's head |
//! | `render` | an answer or an error as HTTP |
//! | `health` | `/healthz`, `/readyz`, `/metrics` |
//! | `unserved` | the typed answer to any other path or method |

mod answers;
mod body;
mod chat;
mod follow;
mod head;
mod health;
mod render;
mod source;
mod unserved;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use dahlia_api::{ApiError, ErrorKind, RequestLimits};
use dahlia_types::{TenantId, TenantKey};
use hyper_util::rt::TokioTimer;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::{Request, Router, Server};
use salvo::server::ServerHandle;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, TryAcquireError};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::answers::AnswerBoard;
use crate::core_handle::CoreHandle;
use crate::handshake::Identity;
use crate::metrics::Metrics;

/// Headers beyond the setting that the HTTP parser lets through, so that the typed refusal can be
/// given. More end the connection with the parser's own answer.
const HEADERS_BEYOND: usize = 20;
/// The HTTP parser's buffer, in multiples of the limit on a request's head.
const HEAD_BUFFER_FACTOR: usize = 2;
/// When a caller may come back after the daemon had no place for its request.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// What every handler needs.
pub struct Gateway {
    /// Routes requests to owners.
    pub core: CoreHandle,
    /// This daemon towards its peers.
    pub identity: Identity,
    /// Text of answers that are generated here.
    pub board: AnswerBoard,
    /// Checks tenants' credentials.
    pub tenants: TenantKey,
    /// Limits on requests.
    pub limits: RequestLimits,
    /// Counters.
    pub metrics: Arc<Metrics>,
    permits: Arc<Semaphore>,
}

impl Gateway {
    /// Puts a gateway together.
    pub fn new(
        core: CoreHandle,
        identity: Identity,
        board: AnswerBoard,
        tenants: TenantKey,
        limits: RequestLimits,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        let permits = Arc::new(Semaphore::new(limits.concurrent_requests as usize));
        Arc::new(Self { core, identity, board, tenants, limits, metrics, permits })
    }

    /// Finds the tenant of a request.
    fn authenticate(&self, request: &Request) -> Result<TenantId, ApiError> {
        let header = request.headers().get("authorization");
        let text = header.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let credential = text.strip_prefix("Bearer ").unwrap_or_default();
        if credential.is_empty() {
            let message = "the Authorization header must be: Bearer <credential>";
            return Err(ApiError::new(ErrorKind::Unauthorized, message).with_field("authorization"));
        }
        self.tenants.check(credential).map_err(|error| {
            let error = ApiError::new(ErrorKind::Unauthorized, error.to_string());
            error.with_field("authorization")
        })
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        let limit = self.limits.concurrent_requests as usize;
        limit.saturating_sub(self.permits.available_permits())
    }

    /// Refuses all further requests, at once and with the advice to go elsewhere.
    pub fn close(&self) {
        self.permits.close();
    }

    /// Takes a place among the requests in progress, or refuses at once.
    fn admit(&self) -> Result<OwnedSemaphorePermit, ApiError> {
        self.permits.clone().try_acquire_owned().map_err(|error| match error {
            TryAcquireError::Closed => {
                let message = "this daemon is stopping; ask another one";
                ApiError::new(ErrorKind::Unavailable, message).with_retry_after(BUSY_RETRY)
            }
            TryAcquireError::NoPermits => {
                let limit = self.limits.concurrent_requests;
                let message = format!(
                    "this daemon serves {limit} requests already (limits.concurrent_requests)"
                );
                ApiError::new(ErrorKind::Overloaded, message).with_retry_after(BUSY_RETRY)
            }
        })
    }
}

/// The server that serves callers.
pub struct GatewayServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl GatewayServer {
    /// Takes no more connections and lets those that are open send what they have, for as long
    /// as `limit`.
    pub async fn finish(&mut self, limit: Duration) {
        self.handle.stop_graceful(limit);
        // A server that takes longer is stopped by force afterwards.
        let _ = timeout(limit, &mut self.task).await;
    }

    /// Breaks every connection.
    pub fn stop(&self) {
        self.handle.stop_forcible();
    }
}

/// Starts serving callers on `listener`.
///
/// # Errors
/// An I/O error when the listener cannot be used.
pub fn serve(listener: TcpListener, gateway: Arc<Gateway>) -> io::Result<GatewayServer> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    let mut server = Server::new(acceptor);
    let receive = Duration::from_millis(gateway.limits.receive_ms);
    server
        .http1_mut()
        .timer(TokioTimer::new())
        .header_read_timeout(receive)
        .max_headers(gateway.limits.headers as usize + HEADERS_BEYOND)
        // Bounds memory; `head` checks exactly, and gives a typed refusal up to here.
        .max_buf_size(gateway.limits.head_bytes as usize * HEAD_BUFFER_FACTOR);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router(gateway)));
    Ok(GatewayServer { handle, task })
}

fn router(gateway: Arc<Gateway>) -> Router {
    let chat = chat::ChatHandler { gateway: gateway.clone() };
    let read = answers::ReadHandler { gateway: gateway.clone() };
    let close = answers::CloseHandler { gateway: gateway.clone() };
    Router::new()
        .hoop(head::HeadLimits { gateway: gateway.clone() })
        .push(Router::with_path("v1/chat/completions").post(chat))
        .push(
            Router::with_path("v1/programs/{program}/chains/{chain}/calls/{number}/answer")
                .get(read),
        )
        .push(Router::with_path("v1/programs/{program}").delete(close))
        .push(Router::with_path("healthz").get(health::Alive))
        .push(Router::with_path("readyz").get(health::Ready { gateway: gateway.clone() }))
        .push(Router::with_path("metrics").get(health::Export { gateway: gateway.clone() }))
        .push(Router::with_path("{**path}").goal(unserved::UnservedHandler { gateway }))
}
