//! Detects servers that stop responding, because they lost power or are cut off from the network.
//!
//! A server may send nothing for a long time while it works, so a pause alone proves nothing. If
//! nothing came from a server on any connection for a while, the relay opens a probe connection to
//! it. A running server accepts or refuses the connection at once; an unresponsive one does
//! neither. Only then are the server's requests abandoned, if another server may run them. Further
//! requests reach it only over a new connection, which shows whether it responds again.
//!
//! A server that has restarted accepts the probe connection too, but has lost its earlier requests.
//! Once a later incarnation of a server is known, requests at earlier ones are abandoned.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_backends::{BackendAddress, BackendId, Backends};
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout};

use crate::RelaySettings;
use crate::repeat_budget::{RepeatPermit, ServiceBudget};
use crate::repeats::{Loss, LossCause};

/// How often a request checks the result of a probe that another request makes.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// How often a waiting request checks whether its server has restarted: short compared with the
/// time that callers wait, long compared with most answers.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often a request at an unresponsive server checks whether it may be repeated, or whether
/// something came from the server.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long an unresponsive server gets no request after a probe timed out. Then the next request to
/// it opens a new connection, which is the next probe.
const REPROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of tracked servers from which on servers without recent contact are forgotten.
const PRUNE_ABOVE_SERVERS: usize = 1_024;
/// Time without contact after which a server may be forgotten.
const CONTACT_RETENTION: Duration = Duration::from_secs(60);

/// The result of a probe connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It accepts connections, or fails in another way than by a timeout.
    Alive,
    /// Nothing listens at its address: it has ended.
    Refused,
    /// The connection timed out: the server has no power or is cut off.
    Silent,
}

/// Opens a probe connection to a server.
pub(crate) async fn probe_reachability(
    server: SocketAddr,
    settings: &RelaySettings,
) -> Reachability {
    let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
    let result = match timeout(connect_timeout, TcpStream::connect(server)).await {
        Err(_) => Reachability::Silent,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Reachability::Refused,
        Ok(Ok(_) | Err(_)) => Reachability::Alive,
    };
    log::info!(
        target: "relay",
        server:% = server, outcome:? = result;
        "Tried whether a server can be reached."
    );
    result
}

/// When each server last sent something.
#[derive(Debug, Default)]
pub(crate) struct ServerLiveness {
    servers: Mutex<HashMap<BackendId, ServerState>>,
}

#[derive(Debug, Clone, Copy)]
struct ServerState {
    /// When something last came from the server.
    last_contact: Instant,
    /// When the last probe since then timed out; none if no probe did.
    silent_at: Option<Instant>,
    /// Whether a probe connection is being opened.
    is_probing: bool,
}

impl ServerState {
    fn new(last_contact: Instant) -> Self {
        Self { last_contact, silent_at: None, is_probing: false }
    }
}

impl ServerLiveness {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, ServerState>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that something came from a server.
    pub(crate) fn record_contact(&self, server: &BackendId) {
        let now = Instant::now();
        let mut servers = self.lock();
        if let Some(state) = servers.get_mut(server) {
            state.last_contact = now;
            state.silent_at = None;
            return;
        }
        if servers.len() >= PRUNE_ABOVE_SERVERS {
            servers.retain(|_, state| {
                state.is_probing || now - state.last_contact < CONTACT_RETENTION
            });
        }
        servers.insert(server.clone(), ServerState::new(now));
    }

    /// When something last came from a server, as far as it is known.
    pub(crate) fn last_contact(&self, server: &BackendId) -> Option<Instant> {
        let servers = self.lock();
        servers.get(server).filter(|state| state.silent_at.is_none()).map(|it| it.last_contact)
    }

    /// Returns which connections a request to the server may use. While the server does not
    /// respond, requests must not leave on open connections: they may run without an answer.
    pub(crate) fn usable_connections(self: &Arc<Self>, server: &BackendId) -> UsableConnections {
        let mut servers = self.lock();
        let Some(state) = servers.get_mut(server) else { return UsableConnections::All };
        let Some(silent_at) = state.silent_at else { return UsableConnections::All };
        if state.is_probing || silent_at.elapsed() < REPROBE_INTERVAL {
            return UsableConnections::None;
        }
        state.is_probing = true;
        UsableConnections::New(Probe { liveness: Arc::clone(self), server: server.clone() })
    }

    /// Whether a server responds to a new connection after one to it has timed out. The timeout alone does
    /// not tell: it also ends connections to a living server that does not read.
    pub(crate) async fn probe_after_timeout(
        self: &Arc<Self>,
        server: &BackendAddress,
        settings: &RelaySettings,
    ) -> Reachability {
        if self.state(&server.id, Instant::now()).silent_at.is_some() {
            return Reachability::Silent;
        }
        let probe = self.begin_probe(&server.id);
        let result = probe_reachability(server.address, settings).await;
        if let Some(probe) = probe {
            probe.finish(result);
        }
        result
    }

    fn state(&self, server: &BackendId, since: Instant) -> ServerState {
        let mut servers = self.lock();
        *servers.entry(server.clone()).or_insert(ServerState::new(since))
    }

    /// Starts a probe; none if another request is already making one.
    fn begin_probe(self: &Arc<Self>, server: &BackendId) -> Option<Probe> {
        let mut servers = self.lock();
        let state = servers.get_mut(server).filter(|state| !state.is_probing)?;
        state.is_probing = true;
        Some(Probe { liveness: Arc::clone(self), server: server.clone() })
    }
}

/// The connections that a request to a server may use.
pub(crate) enum UsableConnections {
    /// Open and new ones.
    All,
    /// A new one, which is also a probe of the server.
    New(Probe),
    /// None: a probe timed out a moment ago, or is being made.
    None,
}

/// A probe in progress. It also ends when its request is dropped.
pub(crate) struct Probe {
    liveness: Arc<ServerLiveness>,
    server: BackendId,
}

impl Drop for Probe {
    fn drop(&mut self) {
        if let Some(state) = self.liveness.lock().get_mut(&self.server) {
            state.is_probing = false;
        }
    }
}

impl Probe {
    pub(crate) fn finish(self, result: Reachability) {
        match result {
            Reachability::Alive | Reachability::Refused => {
                self.liveness.record_contact(&self.server)
            }
            Reachability::Silent => {
                if let Some(state) = self.liveness.lock().get_mut(&self.server) {
                    state.silent_at = Some(Instant::now());
                }
            }
        }
    }
}

/// Watches one server for a request that waits for it.
#[derive(Debug, Clone)]
pub(crate) struct LivenessWatch {
    liveness: Arc<ServerLiveness>,
    backends: Arc<Mutex<Backends>>,
    server: BackendAddress,
    settings: Arc<RelaySettings>,
    /// Whether the request makes probes, which also keep further requests away from a server that
    /// does not respond.
    makes_probes: bool,
    /// The repeats for which the request may leave a server that does not respond. Without one it
    /// waits for its answer or for the end of its connection.
    repeats: Option<ServiceBudget>,
}

impl LivenessWatch {
    pub(crate) fn new(
        liveness: &Arc<ServerLiveness>,
        backends: &Arc<Mutex<Backends>>,
        server: &BackendAddress,
        settings: &Arc<RelaySettings>,
        may_run_again: bool,
        repeats: Option<ServiceBudget>,
    ) -> Self {
        Self {
            liveness: Arc::clone(liveness),
            backends: Arc::clone(backends),
            server: server.clone(),
            settings: Arc::clone(settings),
            makes_probes: may_run_again && settings.silence_ms > 0,
            repeats,
        }
    }

    /// Records that something came from the server.
    pub(crate) fn record_contact(&self) {
        if self.settings.silence_ms > 0 {
            self.liveness.record_contact(&self.server.id);
        }
    }

    /// Returns when the server's answer cannot come any more, or should not be waited for.
    pub(crate) async fn wait_until_lost(&self) -> Loss {
        select! {
            biased;
            permit = self.wait_until_unresponsive() => {
                Loss { cause: LossCause::Unresponsive, permit: Some(permit) }
            }
            () = self.wait_until_restarted() => LossCause::Restarted.into(),
        }
    }

    /// Returns when the server is known to have restarted.
    async fn wait_until_restarted(&self) {
        if self.server.id.born == 0 {
            // It does not report its incarnations.
            return std::future::pending().await;
        }
        loop {
            sleep(RESTART_POLL_INTERVAL).await;
            let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
            if backends.has_later_incarnation(&self.server.id) {
                return;
            }
        }
    }

    /// Returns when the server is found unresponsive and a repeat is reserved.
    async fn wait_until_unresponsive(&self) -> RepeatPermit {
        if !self.makes_probes {
            return std::future::pending().await;
        }
        let silence_limit = Duration::from_millis(self.settings.silence_ms);
        let wait_started = Instant::now();
        loop {
            let state = self.liveness.state(&self.server.id, wait_started);
            // Contact before this wait began does not shorten the wait: the server was running
            // then.
            let probe_at = state.last_contact.max(wait_started) + silence_limit;
            if Instant::now() < probe_at {
                sleep_until(probe_at).await;
                continue;
            }
            if state.silent_at.is_some() {
                if let Some(permit) = self.repeats.as_ref().and_then(ServiceBudget::reserve) {
                    return permit;
                }
                sleep(PERMIT_POLL_INTERVAL).await;
                continue;
            }
            match self.liveness.begin_probe(&self.server.id) {
                Some(probe) => {
                    let result = probe_reachability(self.server.address, &self.settings).await;
                    probe.finish(result);
                }
                None => sleep(PROBE_POLL_INTERVAL).await,
            }
        }
    }
}
