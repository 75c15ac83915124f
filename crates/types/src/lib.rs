//! Types shared by every crate: identifiers, units, epochs, time and checked settings.
//!
//! Nothing here does I/O or holds state. A type belongs in this crate only when at least two
//! other crates exchange it.

mod call;
mod credential;
mod epochs;
mod homes;
mod identifiers;
mod key_digest;
mod settings;
mod switches;
mod time;
mod units;

pub use call::{Attempt, CallKind, Message, Repeatability, Role, Usage};
pub use credential::{CredentialError, PeerKey, TenantKey};
pub use epochs::{Generation, Incarnation, LogIndex, Term};
pub use homes::GroupHomes;
pub use identifiers::{
    AttemptId, CallId, ChainId, ChunkKey, DaemonId, EngineId, GroupId, IdempotencyKey, ModelId,
    ParseIdError, ProgramId, Region, ReplicaId, TenantId, Zone,
};
pub use key_digest::KeyDigest;
pub use settings::{InvalidSetting, check_range};
pub use switches::Switches;
pub use time::{Duration, Timestamp};
pub use units::{Bytes, Tokens};
