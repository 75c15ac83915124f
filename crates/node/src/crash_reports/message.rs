//! Messages about servers that ended under requests. They are sent in datagrams alone and may be lost.

use std::net::SocketAddr;

use dahlia_types::Duration;
use serde::{Deserialize, Serialize};

use crate::request::RequestId;

/// A request, by a hash of what a server gets of it. The node does not know how it is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The hash.
    pub digest: u128,
    /// The length of the request's body.
    pub body_bytes: u64,
}

/// One server ended while one request was there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: RequestKey,
    /// The incarnation of the server, by a hash.
    pub server: u64,
    /// Whether the record does not count any more.
    pub is_void: bool,
    /// How much longer it is kept.
    pub lifetime: Duration,
}

/// A message about servers that ended under requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// What the sender knows of a request; the receiver answers with what it knows.
    Consult {
        /// The sender's identifier for the question.
        id: RequestId,
        /// The request's records.
        records: Vec<CrashRecord>,
        /// The address for the answer.
        reply_to: SocketAddr,
    },
    /// The answer to a question.
    Answer {
        /// The identifier of the question.
        id: RequestId,
        /// The request's records.
        records: Vec<CrashRecord>,
        /// How many servers have the request now, through the sender.
        in_flight: u32,
    },
    /// Records that the receiver may lack.
    Inform {
        /// The records.
        records: Vec<CrashRecord>,
    },
    /// A hash of all records of the sender. A receiver that has others sends them back.
    Compare {
        /// The hash.
        digest: u64,
        /// The address for the records.
        reply_to: SocketAddr,
    },
}
