//! The operators' configuration: its generations, how a change is written, and how it reaches
//! daemons and engines. No I/O.
//!
//! - [`Document`] is what operators write; a [`ConfigurationRecord`] is one generation of it.
//! - [`ChangeWriter`] writes an operator's change to the key-value service by compare-and-swap.
//! - [`ConfigurationFollower`] brings each generation to its daemon. An older generation never
//!   replaces a newer one.
//! - [`OrderPlanner`] derives orders to engines from the configuration in force.
//!
//! All three are state machines: the driver passes events and the time, and carries out actions.

mod change_writer;
mod diff;
mod document;
mod error;
mod follower;
mod orders;
mod record;
mod settings;
mod switches;

pub use change_writer::{
    ChangeOutcome, ChangeProposal, ChangeWriter, ChangeWriterAction, ChangeWriterEvent,
    ServiceUnavailable, SwapFailure, VersionedValue,
};
pub use diff::{Difference, differences};
pub use document::{
    DEFAULT_SLOTS, Document, EngineEntry, EngineRole, MAX_DOCUMENT_BYTES, ModelEntry,
    ProgramDefaults, TenantLimits, TenantOverrides,
};
pub use error::{DocumentError, RecordError};
pub use follower::{
    Anomaly, ConfigurationFollower, FollowerAction, FollowerEvent, Peer, PeerMessage,
    ServingGeneration,
};
pub use orders::{
    BlockedChange, EngineState, FencedOrder, ModelState, OrderKind, OrderPlanner, PlannerAction,
    PlannerEvent,
};
pub use record::{
    CONFIGURATION_KEY, ChangeId, ChangeSummary, ConfigurationRecord, Digest, MAX_RECENT_CHANGES,
    MAX_RECORD_BYTES, RecordId,
};
pub use settings::ConfigurationSettings;
pub use switches::Mechanism;
