//! Identifiers. Each has its own type, so that one cannot be passed in place of another.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::Incarnation;

/// An identifier that does not have the documented text form.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{kind} {text:?} is malformed: expected {expected}"))]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

macro_rules! text_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Wraps a text as this identifier.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_identifier!(
    /// A tenant: a customer of an operator, whose programs are accessible only with its own
    /// credential.
    TenantId
);
text_identifier!(
    /// A model server. Stable over restarts; see [`Incarnation`] for a single run of it.
    EngineId
);
text_identifier!(
    /// A model together with its adapter and version, e.g. `agent-8b/fault-codes@3`.
    ModelId
);
text_identifier!(
    /// A failure domain inside a region, e.g. `hall-a`.
    Zone
);
text_identifier!(
    /// A group of zones with short links between them, e.g. `gulf-south`.
    Region
);
text_identifier!(
    /// The caller's own name for a call (HTTP `Idempotency-Key`); unique inside a program.
    IdempotencyKey
);

/// A daemon, by the number in its settings. Stable over restarts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DaemonId(pub u32);

impl fmt::Display for DaemonId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "d{}", self.0)
    }
}

/// One incarnation of a daemon as a member of replica groups.
///
/// A daemon that restarts without its state is a different replica: it must not vote as if it
/// remembered what its earlier incarnation promised.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ReplicaId {
    /// The daemon that holds the replica.
    pub daemon: DaemonId,
    /// The incarnation of that daemon.
    pub incarnation: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.daemon, self.incarnation)
    }
}

/// A replica group: the unit of ownership, heartbeat and fail-over for many programs.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "g{}", self.0)
    }
}

/// A program. Text form `p-<group>-<16 hex digits>`, e.g. `p-12-00f3a1b2c4d5e6f7`.
///
/// The identifier names the replica group, so that any daemon routes a call without a look-up.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ProgramId {
    /// The replica group that holds the program. It never changes.
    pub group: GroupId,
    /// Random number drawn at creation, unique inside the group.
    pub number: u64,
}

impl fmt::Display for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "p-{}-{:016x}", self.group.0, self.number)
    }
}

impl FromStr for ProgramId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseIdError {
            kind: "program",
            text: text.chars().take(64).collect(),
            expected: "p-<group>-<16 hex digits>",
        };
        let rest = text.strip_prefix("p-").ok_or_else(malformed)?;
        let (group, number) = rest.split_once('-').ok_or_else(malformed)?;
        if number.len() != 16 {
            return Err(malformed());
        }
        let group = group.parse().map_err(|_| malformed())?;
        let number = u64::from_str_radix(number, 16).map_err(|_| malformed())?;
        let program = Self { group: GroupId(group), number };
        // Each program has exactly one text form: capitals, signs and leading zeros are refused.
        if program.to_string() != text {
            return Err(malformed());
        }
        Ok(program)
    }
}

/// Key of a chunk of history on the store daemons. The program is part of the key: two programs
/// with the same text store a chunk each, so that deleting one cannot delete the other's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkKey {
    /// The program.
    pub program: ProgramId,
    /// SHA-256 of the chunk's bytes.
    pub digest: [u8; 32],
}

/// A chain of dependent calls inside a program. Chain 0 is the main one; each sub-agent has its
/// own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ChainId(pub u32);

/// A call: the `number`-th that its chain issued, from 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct CallId {
    /// The program whose order and budget the call is part of.
    pub program: ProgramId,
    /// The chain that issued it.
    pub chain: ChainId,
    /// Its position in the chain, from 1.
    pub number: u32,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.program, self.chain.0, self.number)
    }
}

/// One attempt to run a call. Answers are matched by this identifier and nothing else.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.call, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseIdError {
            kind: "attempt",
            text: text.chars().take(64).collect(),
            expected: "<program>/<chain>/<call>/<attempt>",
        };
        let mut parts = text.split('/');
        let program = parts.next().ok_or_else(malformed)?.parse()?;
        let mut number = || -> Result<u32, ParseIdError> {
            let part = parts.next().ok_or_else(malformed)?;
            part.parse().map_err(|_| malformed())
        };
        let chain = ChainId(number()?);
        let call = number()?;
        let attempt = number()?;
        if parts.next().is_some() {
            return Err(malformed());
        }
        let attempt = Self { call: CallId { program, chain, number: call }, attempt };
        if attempt.to_string() != text {
            return Err(malformed());
        }
        Ok(attempt)
    }
}
