//! What is known of a server from discovery.

use std::fmt;
use std::net::SocketAddr;

use dahlia_types::Zone;
use serde::{Deserialize, Serialize};

/// A service: several servers that can each serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(pub String);

impl fmt::Display for ServiceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One life of one server: a restart has another identifier.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BackendId(pub String);

impl fmt::Display for BackendId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It takes new work.
    Ready,
    /// It ends what it has and takes no new work.
    Draining,
}

/// A server as discovery describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The server, in this life.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
}

/// Where an attempt is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAddress {
    /// The server, in this life. The server refuses the attempt unrun if it is another one.
    pub id: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
}
