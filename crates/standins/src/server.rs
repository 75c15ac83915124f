//! Starts and stops an HTTP server.

use std::io;
use std::net::SocketAddr;

use dahlia_types::{InvalidSetting, check_range};
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// How a service listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerSettings {
    /// Where to listen; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Whether `/control/...` is served: faults and observations.
    pub control: bool,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for a request's body to arrive, in milliseconds.
    pub body_timeout_ms: u64,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: false,
            max_body_bytes: 32 << 20,
            body_timeout_ms: 10_000,
        }
    }
}

impl ServerSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("server.max_body_bytes", self.max_body_bytes, 1_024, 1 << 30)?;
        check_range("server.body_timeout_ms", self.body_timeout_ms, 1, 600_000)
    }
}

/// Why a service did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address cannot be bound.
    #[snafu(display("listen: cannot bind {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A setting is out of range.
    #[snafu(display("{source}"), context(false))]
    Setting {
        /// The setting.
        source: InvalidSetting,
    },
}

/// A service that runs until it is stopped or dropped.
pub struct RunningServer {
    address: SocketAddr,
    handle: ServerHandle,
    serving: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl RunningServer {
    /// Binds and serves `router`. Tasks in `background` end with the server.
    pub(crate) async fn start(
        settings: &ServerSettings,
        router: Router,
        background: Vec<JoinHandle<()>>,
    ) -> Result<Self, StartError> {
        let wanted = settings.listen;
        let listener = bind(wanted).context(BindSnafu { address: wanted })?;
        let address = listener.local_addr().context(BindSnafu { address: wanted })?;
        let acceptor = TcpAcceptor::try_from(listener).context(BindSnafu { address: wanted })?;
        let server = Server::new(acceptor);
        let handle = server.handle();
        let serving = tokio::spawn(server.serve(router));
        Ok(Self { address, handle, serving, background })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks every connection and waits until the port is free again.
    pub async fn shutdown(mut self) {
        self.stop();
        // The task ends by itself or was aborted; both mean that it no longer listens.
        let _ = (&mut self.serving).await;
    }

    fn stop(&self) {
        self.handle.stop_forcible();
        for task in &self.background {
            task.abort();
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit this on Linux. Without it, Nagle's algorithm (RFC 896) holds each
    // small token event back until the client's delayed acknowledgement.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
