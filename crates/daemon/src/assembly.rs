//! A whole daemon: starts its parts, and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahlia_types::TenantKey;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::control::{ControlParts, ListenSnafu, StartError, start_control};
use crate::core_handle::CoreHandle;
use crate::gateway::{self, Gateway, GatewayServer};
use crate::listeners;
use crate::logging::part;
use crate::operators::{self, Operators};
use crate::settings::Settings;

/// How often a planned stop looks whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// What connections get at least to send what they have at the end of a planned stop.
const SHORTEST_FINISH: Duration = Duration::from_millis(200);

/// A daemon that runs.
pub struct RunningDaemon {
    core: CoreHandle,
    gateway: GatewayServer,
    requests: Arc<Gateway>,
    control: ControlParts,
    operators: JoinHandle<()>,
    drain_limit: Duration,
    /// Where callers connect.
    pub gateway_address: SocketAddr,
    /// Where operators connect.
    pub operators_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
}

/// Starts a daemon.
///
/// # Errors
/// [`StartError`] when an address is taken.
pub async fn start(settings: &Settings) -> Result<RunningDaemon, StartError> {
    let (gateway_listener, gateway_address) = listen("callers", settings.daemon.gateway_address)?;
    let (operators_listener, operators_address) =
        listen("operators", settings.daemon.operators_address)?;
    let control = start_control(settings)?;
    let core = control.core.clone();
    let gateway_parts = Gateway::new(
        core.clone(),
        control.identity.clone(),
        control.answers.clone(),
        TenantKey::new(settings.credentials.tenant_key.as_bytes()),
        settings.limits.clone(),
        control.metrics.clone(),
    );
    let requests = gateway_parts.clone();
    let gateway = gateway::serve(gateway_listener, gateway_parts)
        .context(ListenSnafu { part: "callers", address: gateway_address })?;
    let operators = Operators {
        core: core.clone(),
        token: settings.credentials.operator_token.as_str().into(),
        in_force: control.in_force.clone(),
    };
    let serving = tokio::spawn(serve_operators(operators_listener, operators));
    let peer_address = control.peer_address;
    log::info!(
        target: part::DAEMON,
        "{} serves callers on {gateway_address}, operators on {operators_address}, peers on \
         {peer_address}.",
        core.replica_id()
    );
    Ok(RunningDaemon {
        core,
        gateway,
        requests,
        control,
        operators: serving,
        drain_limit: Duration::from_millis(settings.daemon.drain_ms),
        gateway_address,
        operators_address,
        peer_address,
    })
}

impl RunningDaemon {
    /// A planned stop: hands groups over, lets requests end, then closes. Bounded by the
    /// settings.
    pub async fn drain(mut self) {
        log::info!(target: part::DAEMON, "Planned stop.");
        let started = Instant::now();
        self.core.drain().await;
        // The listener stays open: a caller that connects now is told to go elsewhere. With the
        // listener idle it would wait in the kernel's queue until this process ends.
        self.requests.close();
        // A node whose disk is full answers nothing, this question neither.
        while !timeout(self.drain_limit, self.is_idle()).await.unwrap_or(true) {
            if started.elapsed() > self.drain_limit {
                let status = self.core.status().await;
                log::warn!(
                    target: part::DAEMON,
                    "Planned stop cut short: {} attempts and {} requests left.",
                    status.attempts,
                    status.requests
                );
                break;
            }
            sleep(DRAIN_POLL).await;
        }
        // A request counts as ended when its last byte is on its way; connections may still
        // have to send it.
        let left = self.drain_limit.saturating_sub(started.elapsed()).max(SHORTEST_FINISH);
        self.gateway.finish(left).await;
        self.stop();
    }

    /// Whether nobody depends on this daemon any more. An answer that is read from another
    /// daemon leaves no trace in the node, yet its caller's connection is here.
    async fn is_idle(&self) -> bool {
        let status = self.core.status().await;
        let answered = self.requests.in_progress() == 0;
        answered && status.attempts == 0 && status.requests == 0 && status.groups_led == 0
    }

    /// Waits until the node's task has ended by itself; see [`ControlParts::wait_until_ended`].
    pub async fn wait_until_ended(&mut self) {
        let _ = self.control.wait_until_ended().await;
    }

    /// Stops at once.
    pub fn stop(self) {
        self.gateway.stop();
        self.operators.abort();
        self.control.stop();
        log::info!(target: part::DAEMON, "Stopped.");
    }
}

/// A listener, and where it listens: the port may be left to the system.
fn listen(part: &'static str, wanted: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = listeners::listen(wanted).context(ListenSnafu { part, address: wanted })?;
    let address = listeners::local(&listener, wanted);
    Ok((listener, address))
}

async fn serve_operators(listener: TcpListener, operators: Operators) {
    if let Err(error) = operators::serve(listener, operators).await {
        log::error!(target: part::OPERATORS, "Serving operators ended: {error}.");
    }
}
