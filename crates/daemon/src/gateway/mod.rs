//! HTTP for callers: validation, routing to the owner, and returning the answer.
//!
//! | module | job |
//! |---|---|
//! | `chat` | `POST /v1/chat/completions` |
//! | `answers` | resuming an answer at an offset, and closing a program |
//! | `source` | the source of an answer: this daemon or another one |
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

use crate::answers::AnswerBuffers;
use crate::core_handle::CoreHandle;
use crate::handshake::Identity;
use crate::metrics::Metrics;

/// Headers over the limit that the HTTP parser still accepts, so that the request gets a typed refusal.
/// With more headers the parser sends its own answer and closes the connection.
const EXTRA_PARSED_HEADERS: usize = 20;
/// The HTTP parser's buffer, in multiples of the limit on a request's head.
const HEAD_BUFFER_FACTOR: usize = 2;
/// Retry delay for a caller when the daemon is at its limit of requests or is stopping.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The state shared by all handlers.
pub struct Gateway {
    /// Routes requests to owners.
    pub core: CoreHandle,
    /// The identity of this daemon towards its peers.
    pub identity: Identity,
    /// Buffers of answers that this daemon receives from engines.
    pub answers: AnswerBuffers,
    /// Checks tenants' credentials.
    pub tenants: TenantKey,
    /// Limits on requests.
    pub limits: RequestLimits,
    /// Counters.
    pub metrics: Arc<Metrics>,
    permits: Arc<Semaphore>,
}

impl Gateway {
    /// Creates a gateway.
    pub fn new(
        core: CoreHandle,
        identity: Identity,
        answers: AnswerBuffers,
        tenants: TenantKey,
        limits: RequestLimits,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        let permits = Arc::new(Semaphore::new(limits.concurrent_requests as usize));
        Arc::new(Self { core, identity, answers, tenants, limits, metrics, permits })
    }

    /// Returns the tenant of a request by its credential.
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

    /// The number of requests in progress.
    pub fn in_progress(&self) -> usize {
        let limit = self.limits.concurrent_requests as usize;
        limit.saturating_sub(self.permits.available_permits())
    }

    /// Refuses all further requests at once, and advises their callers to use another daemon.
    pub fn close(&self) {
        self.permits.close();
    }

    /// Acquires a permit for one request, or refuses at once.
    fn admit(&self) -> Result<OwnedSemaphorePermit, ApiError> {
        self.permits.clone().try_acquire_owned().map_err(|error| match error {
            TryAcquireError::Closed => {
                let message = "this daemon is stopping; ask another one";
                ApiError::new(ErrorKind::Unavailable, message).with_retry_after(BUSY_RETRY_DELAY)
            }
            TryAcquireError::NoPermits => {
                let limit = self.limits.concurrent_requests;
                let message = format!(
                    "this daemon serves {limit} requests already (limits.concurrent_requests)"
                );
                ApiError::new(ErrorKind::Overloaded, message).with_retry_after(BUSY_RETRY_DELAY)
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
    /// Stops accepting connections, and lets open ones finish sending for at most `limit`.
    pub async fn finish(&mut self, limit: Duration) {
        self.handle.stop_graceful(limit);
        // The caller forcibly stops a server that takes longer.
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
        .max_headers(gateway.limits.headers as usize + EXTRA_PARSED_HEADERS)
        // Bounds memory. Up to this size, `head` checks exactly and gives a typed refusal.
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
        .push(Router::with_path("healthz").get(health::HealthHandler))
        .push(
            Router::with_path("readyz").get(health::ReadinessHandler { gateway: gateway.clone() }),
        )
        .push(Router::with_path("metrics").get(health::MetricsHandler { gateway: gateway.clone() }))
        .push(Router::with_path("{**path}").goal(unserved::UnservedHandler { gateway }))
}
