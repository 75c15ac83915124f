//! Detects servers that stop responding, because they lost power or are cut off from the network.
//!
//! A server may send nothing for a long time while it works, so a pause alone proves nothing. If
//! nothing came from a server on any connection for a while, the relay opens a probe connection to
//! it. A running server accepts or refuses the connection at once; an unresponsive one does
//! neither. Only then are the server's requests abandoned, if another server may run them.
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

/// How often a request checks the result of a probe that another request makes.
const PROBE_POLL: Duration = Duration::from_millis(25);
/// How often a waiting request checks whether its server has restarted: short compared with the
/// time that callers wait, long compared with most answers.
const LIFE_POLL: Duration = Duration::from_millis(250);
/// Number of tracked servers from which on servers without recent contact are forgotten.
const MANY_SERVERS: usize = 1_024;
/// Time without contact after which a server may be forgotten.
const LONG_AGO: Duration = Duration::from_secs(60);

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
pub(crate) async fn reachability(server: SocketAddr, settings: &RelaySettings) -> Reachability {
    let patience = Duration::from_millis(settings.connect_timeout_ms);
    let reached = match timeout(patience, TcpStream::connect(server)).await {
        Err(_) => Reachability::Silent,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Reachability::Refused,
        Ok(Ok(_) | Err(_)) => Reachability::Alive,
    };
    log::info!(
        target: "relay",
        server:% = server, outcome:? = reached;
        "Tried whether a server can be reached."
    );
    reached
}

/// When each server last sent something.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    servers: Mutex<HashMap<BackendId, State>>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    /// When something last came from the server.
    heard: Instant,
    /// Whether a probe since then timed out.
    is_silent: bool,
    /// Whether a probe connection is being opened.
    is_probed: bool,
}

impl State {
    fn new(heard: Instant) -> Self {
        Self { heard, is_silent: false, is_probed: false }
    }
}

impl Heard {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, State>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that something came from a server.
    pub(crate) fn note(&self, server: &BackendId) {
        let now = Instant::now();
        let mut servers = self.lock();
        if let Some(state) = servers.get_mut(server) {
            state.heard = now;
            state.is_silent = false;
            return;
        }
        if servers.len() >= MANY_SERVERS {
            servers.retain(|_, state| state.is_probed || now - state.heard < LONG_AGO);
        }
        servers.insert(server.clone(), State::new(now));
    }

    /// Whether a probe of the server timed out and nothing came from it since.
    pub(crate) fn is_silent(&self, server: &BackendId) -> bool {
        self.lock().get(server).is_some_and(|state| state.is_silent)
    }

    fn state(&self, server: &BackendId, since: Instant) -> State {
        let mut servers = self.lock();
        *servers.entry(server.clone()).or_insert(State::new(since))
    }

    /// Starts a probe; none if another request is already making one.
    fn begin_probe(self: &Arc<Self>, server: &BackendId) -> Option<Probe> {
        let mut servers = self.lock();
        let state = servers.get_mut(server).filter(|state| !state.is_probed)?;
        state.is_probed = true;
        Some(Probe { heard: Arc::clone(self), server: server.clone() })
    }
}

/// A probe in progress. It also ends when its request is dropped.
struct Probe {
    heard: Arc<Heard>,
    server: BackendId,
}

impl Drop for Probe {
    fn drop(&mut self) {
        if let Some(state) = self.heard.lock().get_mut(&self.server) {
            state.is_probed = false;
        }
    }
}

impl Probe {
    fn end(self, reached: Reachability) {
        match reached {
            Reachability::Alive | Reachability::Refused => self.heard.note(&self.server),
            Reachability::Silent => {
                if let Some(state) = self.heard.lock().get_mut(&self.server) {
                    state.is_silent = true;
                }
            }
        }
    }
}

/// Why a request stops waiting for its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GivenUp {
    /// The server does not respond.
    Silent,
    /// The server has restarted.
    StartedAgain,
}

impl GivenUp {
    /// The cause as logs have it.
    pub(crate) fn cause(self) -> &'static str {
        match self {
            Self::Silent => "the server fell silent",
            Self::StartedAgain => "the server has started again",
        }
    }
}

/// Watches one server for a request that waits for it.
#[derive(Debug, Clone)]
pub(crate) struct SilenceWatch {
    heard: Arc<Heard>,
    backends: Arc<Mutex<Backends>>,
    server: BackendAddress,
    settings: Arc<RelaySettings>,
    /// Whether probes are made: only if another server may run the request. Otherwise the request
    /// waits for the end of its connection.
    is_on: bool,
}

impl SilenceWatch {
    pub(crate) fn new(
        heard: &Arc<Heard>,
        backends: &Arc<Mutex<Backends>>,
        server: &BackendAddress,
        settings: &Arc<RelaySettings>,
        may_run_again: bool,
    ) -> Self {
        Self {
            heard: Arc::clone(heard),
            backends: Arc::clone(backends),
            server: server.clone(),
            settings: Arc::clone(settings),
            is_on: may_run_again && settings.silence_ms > 0,
        }
    }

    /// Records that something came from the server.
    pub(crate) fn heard(&self) {
        if self.is_on {
            self.heard.note(&self.server.id);
        }
    }

    /// Returns when the server's answer cannot come any more, or should not be waited for.
    pub(crate) async fn given_up(&self) -> GivenUp {
        select! {
            biased;
            () = self.silence() => GivenUp::Silent,
            () = self.later_life() => GivenUp::StartedAgain,
        }
    }

    /// Returns when the server is known to have restarted.
    async fn later_life(&self) {
        if self.server.id.born == 0 {
            // It does not report its incarnations.
            return std::future::pending().await;
        }
        loop {
            sleep(LIFE_POLL).await;
            let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
            if backends.has_later_incarnation(&self.server.id) {
                return;
            }
        }
    }

    /// Returns when the server is found unresponsive.
    async fn silence(&self) {
        if !self.is_on {
            return std::future::pending().await;
        }
        let patience = Duration::from_millis(self.settings.silence_ms);
        let began = Instant::now();
        loop {
            let state = self.heard.state(&self.server.id, began);
            // Contact before this wait began does not shorten the wait: the server was running
            // then.
            let due = state.heard.max(began) + patience;
            if state.is_silent {
                return;
            }
            if Instant::now() < due {
                sleep_until(due).await;
                continue;
            }
            match self.heard.begin_probe(&self.server.id) {
                Some(probe) => {
                    let reached = reachability(self.server.address, &self.settings).await;
                    probe.end(reached);
                }
                None => sleep(PROBE_POLL).await,
            }
        }
    }
}
