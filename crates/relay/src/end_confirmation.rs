//! Confirms the end of an answer that ends with its connection: the system closes the connections of a process that dies
//! as a server does that is done, and another process may listen at the address at once.
//!
//! Only the same process can answer on a connection that was open before the end. So such an answer has a second connection
//! while it arrives, on which a health check is sent after its end.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_backends::{BackendAddress, BackendId, Backends};
use futures::future::pending;
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep};

use crate::RelaySettings;
use crate::connection::{OpenError, ServerConnection};
use crate::counters::{Counters, count};
use crate::health_check::{HealthCheck, HealthReply};
use crate::pool::{IdleConnection, KeepAlive, Pool};

/// How long a process that is killed may take to close its connections.
const PROCESS_END_TIME: Duration = Duration::from_millis(5);
/// A second connection that ends sooner than this is not replaced: the server accepts no more.
const MIN_REPLACED_AGE: Duration = Duration::from_millis(500);

/// What is known of a server after the end of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// It answered a health check on a connection from before the end.
    Answered,
    /// A connection from before the end is open, and what was sent on it is acknowledged.
    KeptOpen,
    /// It answered a health check under its name, on a new connection.
    Identified,
    /// It has ended.
    Ended,
    /// Nothing shows that it lives.
    None,
}

impl EndEvidence {
    /// The evidence in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::KeptOpen => "kept-open",
            Self::Identified => "identified",
            Self::Ended => "ended",
            Self::None => "none",
        }
    }
}

/// A connection that is being opened.
type Opening = JoinHandle<Result<ServerConnection, OpenError>>;

/// A second connection to the server of an answer.
enum SecondConnection {
    Opening(Opening),
    /// It was open while the answer's connection was.
    Open(Box<IdleConnection>),
    None,
}

/// What the confirmation of an end needs of the relay.
pub(crate) struct ConfirmationContext {
    pub(crate) settings: Arc<RelaySettings>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) backends: Arc<Mutex<Backends>>,
    pub(crate) counters: Arc<Counters>,
}

/// Confirms the end of one answer.
pub(crate) struct EndConfirmation {
    context: ConfirmationContext,
    server: BackendAddress,
    /// None if the service has no health check.
    health_check: Option<HealthCheck>,
    /// How connections to the server are kept.
    keep_alive: KeepAlive,
    second: SecondConnection,
}

impl EndConfirmation {
    /// Begins when the head of an answer has come, or before, with an idle connection if there is one.
    pub(crate) fn new(
        context: ConfirmationContext,
        server: BackendAddress,
        health_check: Option<HealthCheck>,
        keep_alive: KeepAlive,
    ) -> Self {
        let second = SecondConnection::None;
        let mut confirmation = Self { context, server, health_check, keep_alive, second };
        confirmation.second = match confirmation.context.pool.take_open(&confirmation.server.id) {
            Some(idle) => SecondConnection::Open(Box::new(idle)),
            None => SecondConnection::Opening(confirmation.begin_opening()),
        };
        confirmation
    }

    fn begin_opening(&self) -> Opening {
        let address = self.server.address;
        let settings = Arc::clone(&self.context.settings);
        let counters = Arc::clone(&self.context.counters);
        tokio::spawn(async move {
            let connection = ServerConnection::open(address, &settings).await?;
            count(&counters.connections_to_servers);
            Ok(connection)
        })
    }

    /// Waits until the second connection has opened, or cannot be. This is for requests that are not sent before.
    pub(crate) async fn second_opened(&mut self) {
        if let SecondConnection::Opening(_) = self.second {
            self.changed().await;
        }
    }

    /// Returns when the second connection has opened or ended. This is to be polled only after the answer's connection was
    /// found open: a connection that opens after the answer's end may be another process's.
    pub(crate) async fn changed(&mut self) {
        let next = match &mut self.second {
            SecondConnection::Opening(opening) => match opened(opening).await {
                Ok(connection) => self.open(connection),
                Err(_) => SecondConnection::None,
            },
            SecondConnection::Open(idle) => {
                idle.connection.closed().await;
                match idle.idle_since.elapsed() >= MIN_REPLACED_AGE {
                    true => SecondConnection::Opening(self.begin_opening()),
                    false => SecondConnection::None,
                }
            }
            SecondConnection::None => pending().await,
        };
        self.second = next;
    }

    fn open(&self, connection: ServerConnection) -> SecondConnection {
        SecondConnection::Open(Box::new(IdleConnection::new(connection, self.keep_alive)))
    }

    /// Finds out after the end of the answer whether the server's process still lives.
    pub(crate) async fn confirm(mut self) -> EndEvidence {
        if self.has_later_incarnation() {
            return EndEvidence::Ended;
        }
        let opening = match mem::replace(&mut self.second, SecondConnection::None) {
            SecondConnection::Open(idle) => {
                if let Some(evidence) = self.check_second(*idle).await {
                    return evidence;
                }
                self.begin_opening()
            }
            SecondConnection::Opening(opening) => opening,
            SecondConnection::None => self.begin_opening(),
        };
        self.check_by_name(opening).await
    }

    /// Checks the server on a connection from before the end. None if that connection shows nothing.
    async fn check_second(&self, mut idle: IdleConnection) -> Option<EndEvidence> {
        if !idle.connection.is_reusable() {
            return None;
        }
        let Some(health_check) = &self.health_check else {
            sleep(PROCESS_END_TIME).await;
            let is_open = idle.connection.is_reusable();
            self.keep(idle);
            return is_open.then_some(EndEvidence::KeptOpen);
        };
        match self.send(health_check, idle.connection).await {
            HealthReply::Expected => Some(EndEvidence::Answered),
            HealthReply::Pending => Some(EndEvidence::KeptOpen),
            HealthReply::OtherInstance => Some(EndEvidence::Ended),
            HealthReply::Unrelated | HealthReply::Closed => None,
        }
    }

    /// Checks the server by its name, on a connection that may have opened after the end. A name that may be used again
    /// shows nothing.
    async fn check_by_name(&self, mut opening: Opening) -> EndEvidence {
        let connection = match opened(&mut opening).await {
            Ok(connection) => connection,
            Err(NotOpened::Refused) => return EndEvidence::Ended,
            Err(NotOpened::Other) => return EndEvidence::None,
        };
        let health_check = self.health_check.as_ref();
        let Some(health_check) = health_check.filter(|_| !may_reuse_name(&self.server.id)) else {
            self.keep(IdleConnection::new(connection, self.keep_alive));
            return EndEvidence::None;
        };
        match self.send(health_check, connection).await {
            HealthReply::Expected if !self.has_later_incarnation() => EndEvidence::Identified,
            HealthReply::Expected | HealthReply::OtherInstance => EndEvidence::Ended,
            HealthReply::Unrelated | HealthReply::Pending | HealthReply::Closed => {
                EndEvidence::None
            }
        }
    }

    async fn send(&self, health_check: &HealthCheck, connection: ServerConnection) -> HealthReply {
        let (reply, idle) = health_check.send(&self.server, connection).await;
        if let Some(idle) = idle {
            self.keep(idle);
        }
        reply
    }

    /// Keeps a connection for the next request, unless its zone is being evacuated.
    fn keep(&self, idle: IdleConnection) {
        if !self.lock_backends().is_evacuated(&self.server.id) {
            self.context.pool.put_idle(&self.server.id, idle, self.keep_alive.max_idle);
        }
    }

    fn has_later_incarnation(&self) -> bool {
        self.lock_backends().has_later_incarnation(&self.server.id)
    }

    fn lock_backends(&self) -> MutexGuard<'_, Backends> {
        self.context.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for EndConfirmation {
    fn drop(&mut self) {
        match mem::replace(&mut self.second, SecondConnection::None) {
            SecondConnection::Opening(opening) => opening.abort(),
            SecondConnection::Open(idle) => self.keep(*idle),
            SecondConnection::None => {}
        }
    }
}

/// Whether another process may have a server's name: those that tell their births start again under their names.
pub(crate) fn may_reuse_name(server: &BackendId) -> bool {
    server.born != 0
}

/// Returns when the second connection has opened or ended, if there is one. As [`EndConfirmation::changed`], this is to be
/// polled only after the answer's connection was found open.
pub(crate) async fn second_connection_changed(confirmation: &mut Option<Box<EndConfirmation>>) {
    match confirmation {
        Some(confirmation) => confirmation.changed().await,
        None => pending().await,
    }
}

/// Why a connection was not opened.
enum NotOpened {
    /// Nothing listens at the address.
    Refused,
    Other,
}

/// Waits until a connection is open.
async fn opened(opening: &mut Opening) -> Result<ServerConnection, NotOpened> {
    match opening.await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => {
            log::debug!(target: "relay", "a second connection: {error}");
            Err(if error.is_refused() { NotOpened::Refused } else { NotOpened::Other })
        }
        Err(error) => {
            log::error!(target: "relay", "the task that opens a second connection: {error}");
            Err(NotOpened::Other)
        }
    }
}
