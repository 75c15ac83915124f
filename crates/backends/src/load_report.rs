//! Reports of server loads that daemons exchange: their own attempts at each server, and the times
//! between tokens.
//!
//! All figures are additive, so that a daemon can forward the sum of several reports.

use std::ops::RangeInclusive;

use dahlia_types::Duration;
use serde::{Deserialize, Serialize};

use crate::BackendId;
use crate::rendezvous::weight;

/// Salts the hash of servers' identifiers. The value is arbitrary but must be the same at all
/// daemons.
const DIGEST_SALT: u64 = 0x6c6f_6164;

/// A short identifier of one incarnation of a server: a hash that is the same at all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerDigest(pub u64);

impl ServerDigest {
    /// Returns the digest of a server's incarnation.
    pub fn of(id: &BackendId) -> Self {
        Self(weight(DIGEST_SALT, id))
    }
}

/// The times between tokens of some streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenTimes {
    /// The number of tokens, without those of each stream's first event.
    pub tokens: u32,
    /// The sum of the pauses before these tokens, in microseconds.
    pub micros: u32,
}

/// The load that the attempts of some daemons cause at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server, in its current incarnation.
    pub server: ServerDigest,
    /// Attempts that have not ended.
    pub in_flight: u16,
    /// Tokens of their prompts, and tokens that they may still generate.
    pub tokens: u32,
    /// Times of the tokens that arrived since the previous report.
    pub times: TokenTimes,
}

/// The loads that other daemons cause at some servers. A server in the range without an entry has
/// none of their attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// The servers that the view covers.
    pub range: RangeInclusive<ServerDigest>,
    /// The loads, ordered by digest, without duplicates.
    pub loads: Vec<ServerLoad>,
    /// The age of the oldest figure.
    pub age: Duration,
}
