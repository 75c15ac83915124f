//! What discovery knows about a server.

use std::fmt;
use std::net::SocketAddr;

use dahlia_types::{Duration, Zone};
use serde::{Deserialize, Serialize};

use crate::SoftwareVersion;

/// A service: several servers, each of which can serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(pub String);

impl fmt::Display for ServiceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One incarnation of a server: from its start to its end.
///
/// A server may start again under the same name. It has then lost all its state, so whatever is
/// learnt about a server, stored at it or sent to it belongs to one incarnation. The text form is
/// `NAME@BORN`, or the name alone if the server does not report its start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendId {
    /// The server's name, the same in all incarnations.
    pub name: String,
    /// When this incarnation started, in milliseconds since the Unix epoch; 0 if the server does
    /// not report it.
    pub born: u64,
}

/// Separates the name and the start time in the text form.
const BORN_SEPARATOR: char = '@';

impl BackendId {
    /// Creates the identifier of the incarnation of `name` that started at `born`.
    pub fn new(name: impl Into<String>, born: u64) -> Self {
        Self { name: name.into(), born }
    }
}

impl From<&str> for BackendId {
    /// Parses the text form. Every text is valid: without a start time it is a name.
    fn from(text: &str) -> Self {
        let with_born = text.rsplit_once(BORN_SEPARATOR);
        let with_born = with_born.and_then(|(name, born)| Some((name, born.parse().ok()?)));
        let (name, born) = with_born.unwrap_or((text, 0));
        Self::new(name, born)
    }
}

impl fmt::Display for BackendId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)?;
        match self.born {
            0 => Ok(()),
            born => write!(formatter, "{BORN_SEPARATOR}{born}"),
        }
    }
}

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// The server takes new work.
    Ready,
    /// The server finishes its running work and takes no new work.
    Draining,
}

/// A server as discovery describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The server, in its current incarnation.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone that it lies in.
    pub zone: Zone,
    /// The number of requests that it can run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
    /// How much longer the server can handle only few requests, because it started recently. This
    /// is the server's last report.
    pub cold_for: Duration,
    /// The version of its software. Documents between daemons carry it beside the record, since builds before it
    /// read the record without.
    #[serde(skip)]
    pub version: SoftwareVersion,
}

/// The destination of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAddress {
    /// The server, in its current incarnation. Another incarnation refuses the attempt without
    /// running it.
    pub id: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version of its software.
    pub version: SoftwareVersion,
}
