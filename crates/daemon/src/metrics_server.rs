//! Serves a daemon's metrics on an address of their own, where callers' HTTP is not the product's.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::{Response, Router, Server, handler};
use tokio::net::TcpSocket;

use crate::core_handle::CoreHandle;
use crate::logging::part;
use crate::metrics::Metrics;

/// The path of the metrics.
pub const METRICS_PATH: &str = "metrics";
/// Readers that may wait to be accepted.
const BACKLOG: u32 = 16;

/// Brings metrics of other parts up to date before each reading.
pub type RefreshMetrics = Arc<dyn Fn() + Send + Sync>;

struct Export {
    core: CoreHandle,
    metrics: Arc<Metrics>,
    refresh: RefreshMetrics,
}

#[handler]
impl Export {
    async fn handle(&self, response: &mut Response) {
        // The node's gauges are taken over when it is asked for its status.
        self.core.status().await;
        (self.refresh)();
        match self.metrics.text() {
            Ok(text) => response.render(text),
            Err(error) => {
                log::warn!(target: part::DAEMON, cause:% = error; "Metrics failed.");
                response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}

/// Serves `/metrics` for as long as the process runs. Returns where it listens.
///
/// # Errors
/// The address is taken.
pub fn serve(
    address: SocketAddr,
    core: CoreHandle,
    metrics: Arc<Metrics>,
    refresh: RefreshMetrics,
) -> io::Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    let bound = listener.local_addr()?;
    let export = Export { core, metrics, refresh };
    let router = Router::new().push(Router::with_path(METRICS_PATH).get(export));
    let acceptor = TcpAcceptor::try_from(listener)?;
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(bound)
}
