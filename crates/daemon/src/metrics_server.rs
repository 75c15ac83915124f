//! Serves a daemon's metrics on a separate address, for processes whose HTTP for callers is not this
//! crate's gateway.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use salvo::Service;
use salvo::http::StatusCode;
use salvo::http::uri::Scheme;
use salvo::prelude::{Response, Router, handler};
use tokio::net::TcpSocket;

use crate::bounded_server;
use crate::core_handle::CoreHandle;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::suspect_pages::SuspectPages;

/// The path of the metrics.
pub const METRICS_PATH: &str = "metrics";
/// Most connections that wait to be accepted.
const BACKLOG: u32 = 16;

/// Updates the metrics of other parts before each read.
pub type RefreshMetrics = Arc<dyn Fn() + Send + Sync>;

struct MetricsHandler {
    core: CoreHandle,
    metrics: Arc<Metrics>,
    refresh: RefreshMetrics,
}

#[handler]
impl MetricsHandler {
    async fn handle(&self, response: &mut Response) {
        // A status query updates the gauges from the node.
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

/// Serves `/metrics` while the process runs, and pages about suspect requests if there are any. Returns the listener's address.
///
/// # Errors
/// The address is taken.
pub fn serve(
    address: SocketAddr,
    core: CoreHandle,
    metrics: Arc<Metrics>,
    refresh: RefreshMetrics,
    suspects: Option<SuspectPages>,
) -> io::Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    let bound = listener.local_addr()?;
    let handler = MetricsHandler { core, metrics, refresh };
    let router = Router::new().push(Router::with_path(METRICS_PATH).get(handler));
    let router = match suspects {
        Some(pages) => router.push(pages.router()),
        None => router,
    };
    let service = Service::new(router);
    let handler = move |peer: SocketAddr| {
        service.hyper_handler(bound.into(), peer.into(), Scheme::HTTP, None, None)
    };
    tokio::spawn(bounded_server::serve(listener, part::DAEMON, handler));
    Ok(bound)
}
