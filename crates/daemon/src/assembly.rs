//! Starts all parts of a daemon, and stops them in order.

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

/// How often a planned stop checks whether everything has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time that connections get to finish sending at the end of a planned stop.
const MIN_FINISH_TIME: Duration = Duration::from_millis(200);

/// A running daemon.
pub struct RunningDaemon {
    core: CoreHandle,
    gateway: GatewayServer,
    gateway_state: Arc<Gateway>,
    control: ControlParts,
    operators: JoinHandle<()>,
    drain_timeout: Duration,
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
    let state = Gateway::new(
        core.clone(),
        control.identity.clone(),
        control.answers.clone(),
        TenantKey::new(settings.credentials.tenant_key.as_bytes()),
        settings.limits.clone(),
        control.metrics.clone(),
    );
    let gateway_state = state.clone();
    let gateway = gateway::serve(gateway_listener, state)
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
        gateway_state,
        control,
        operators: serving,
        drain_timeout: Duration::from_millis(settings.daemon.drain_ms),
        gateway_address,
        operators_address,
        peer_address,
    })
}

impl RunningDaemon {
    /// Performs a planned stop: hands groups over, lets requests end, then closes. The settings limit how
    /// long it takes. After [`Self::wait_until_ended`] there are no groups to hand over.
    pub async fn drain(mut self) {
        log::info!(target: part::DAEMON, "Planned stop.");
        let started = Instant::now();
        self.core.drain().await;
        // The listener stays open, so that a caller that connects now is advised to use another daemon.
        // Without accepts it would wait in the kernel's queue until this process ends.
        self.gateway_state.close();
        // A node whose disk is full does not answer this query either, hence the timeout.
        while !timeout(self.drain_timeout, self.is_idle()).await.unwrap_or(true) {
            if started.elapsed() > self.drain_timeout {
                let status = self.core.status().await;
                log::warn!(
                    target: part::DAEMON,
                    "Planned stop cut short: {} attempts and {} requests left.",
                    status.attempts,
                    status.requests
                );
                break;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        // A request counts as ended when its last byte is buffered. Its connection may still have to
        // send it.
        let time_left = self.drain_timeout.saturating_sub(started.elapsed()).max(MIN_FINISH_TIME);
        self.gateway.finish(time_left).await;
        self.stop();
    }

    /// Whether no caller or group depends on this daemon any more. The node does not know about answers
    /// that are read from other daemons, but their callers' connections are here.
    async fn is_idle(&self) -> bool {
        let status = self.core.status().await;
        let has_no_requests = self.gateway_state.in_progress() == 0;
        has_no_requests && status.attempts == 0 && status.requests == 0 && status.groups_led == 0
    }

    /// Waits until the node's task ends by itself; see [`ControlParts::wait_until_ended`].
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

/// Opens a listener. Returns it with its address, since the system may choose the port.
fn listen(
    part: &'static str,
    configured: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener =
        listeners::listen(configured).context(ListenSnafu { part, address: configured })?;
    let address = listeners::local_address(&listener, configured);
    Ok((listener, address))
}

async fn serve_operators(listener: TcpListener, operators: Operators) {
    if let Err(error) = operators::serve(listener, operators).await {
        log::error!(target: part::OPERATORS, "Serving operators ended: {error}.");
    }
}
