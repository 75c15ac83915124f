//! Servers that fall silent: without power, or behind a cut.
//!
//! A server may be quiet for long while it works, so silence alone says nothing. When nothing came
//! from a server on any connection for a while, a new connection to it is tried: a server that
//! lives takes or refuses it at once, a silent one says nothing. Only then is the server given up
//! for requests that another one may run.
//!
//! A server that started again takes the new connection too, but has lost what it was asked before. Its
//! later life, once known, ends every wait for an earlier one.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_backends::{BackendAddress, BackendId, Backends};
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout};

use crate::RelaySettings;

/// How often a request looks for the result of the connection that another one tries.
const PROBE_POLL: Duration = Duration::from_millis(25);
/// How often a request that waits looks whether its server has started again: short beside what
/// callers wait for, long beside most answers.
const LIFE_POLL: Duration = Duration::from_millis(250);
/// Servers noted beyond which those not heard of for long are forgotten.
const MANY_SERVERS: usize = 1_024;
/// How long a server must not have been heard of to be forgotten.
const LONG_AGO: Duration = Duration::from_secs(60);

/// What a new connection to a server tells of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It takes connections, or fails otherwise than by silence.
    Alive,
    /// Nobody listens any more: it has ended.
    Refused,
    /// Nothing comes back: it is without power, or cut off.
    Silent,
}

/// Tries a new connection to a server.
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

/// When servers were last heard of.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    servers: Mutex<HashMap<BackendId, State>>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    /// The last sign of life.
    heard: Instant,
    /// A connection was tried after it, and nothing came back.
    is_silent: bool,
    /// A connection is being tried.
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

    /// Something came from a server.
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

    /// Whether a server was found silent, and nothing came since.
    pub(crate) fn is_silent(&self, server: &BackendId) -> bool {
        self.lock().get(server).is_some_and(|state| state.is_silent)
    }

    fn state(&self, server: &BackendId, since: Instant) -> State {
        let mut servers = self.lock();
        *servers.entry(server.clone()).or_insert(State::new(since))
    }

    /// Takes the task to try a connection. None when another request has it.
    fn begin_probe(self: &Arc<Self>, server: &BackendId) -> Option<Probe> {
        let mut servers = self.lock();
        let state = servers.get_mut(server).filter(|state| !state.is_probed)?;
        state.is_probed = true;
        Some(Probe { heard: Arc::clone(self), server: server.clone() })
    }
}

/// A connection that is being tried; ends also when its request does.
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

/// Why an answer is not waited for any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GivenUp {
    /// The server fell silent.
    Silent,
    /// The server has started again.
    StartedAgain,
}

impl GivenUp {
    /// The cause in logs.
    pub(crate) fn cause(self) -> &'static str {
        match self {
            Self::Silent => "the server fell silent",
            Self::StartedAgain => "the server has started again",
        }
    }
}

/// Watches over one server for a request that waits for it.
#[derive(Debug, Clone)]
pub(crate) struct SilenceWatch {
    heard: Arc<Heard>,
    backends: Arc<Mutex<Backends>>,
    server: BackendAddress,
    settings: Arc<RelaySettings>,
    /// Whether another server may run the request; else its end is waited for.
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

    /// Something came from the server.
    pub(crate) fn heard(&self) {
        if self.is_on {
            self.heard.note(&self.server.id);
        }
    }

    /// Returns when the server's answer cannot come any more, or is not to be waited for.
    pub(crate) async fn given_up(&self) -> GivenUp {
        select! {
            biased;
            () = self.silence() => GivenUp::Silent,
            () = self.later_life() => GivenUp::StartedAgain,
        }
    }

    /// Returns when the server is known to have started again.
    async fn later_life(&self) {
        if self.server.id.born == 0 {
            // It does not tell of its lives.
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

    /// Returns when the server is found silent.
    async fn silence(&self) {
        if !self.is_on {
            return std::future::pending().await;
        }
        let patience = Duration::from_millis(self.settings.silence_ms);
        let began = Instant::now();
        loop {
            let state = self.heard.state(&self.server.id, began);
            // What was heard before this wait began says that it lived then.
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
