//! The operators' configuration: generations, acceptance and spreading, without I/O.
//!
//! - [`Document`] is what operators write; a [`Record`] is one generation of it.
//! - [`Accepter`] brings a change into the key-value service by compare-and-swap.
//! - [`Follower`] brings each generation to its daemon and never lets an older one replace it.
//! - [`OrderPlanner`] turns the configuration in force into orders to engines.
//!
//! All three are state machines: the driver passes events and the time, and carries out actions.

mod accept;
mod diff;
mod document;
mod error;
mod follower;
mod orders;
mod record;
mod settings;
mod switches;

pub use accept::{
    AcceptAction, AcceptEvent, Accepter, Proposal, ServiceRecord, ServiceUnavailable, SwapFailure,
    Verdict,
};
pub use diff::{Difference, differences};
pub use document::{
    DEFAULT_SLOTS, Document, EngineEntry, EngineRole, MOST_DOCUMENT_BYTES, ModelEntry,
    ProgramDefaults, TenantLimits, TenantOverrides,
};
pub use error::{DocumentError, RecordError};
pub use follower::{
    Anomaly, Follower, FollowerAction, FollowerEvent, Knowledge, Peer, PeerMessage,
};
pub use orders::{
    EngineState, FencedOrder, Held, ModelState, OrderKind, OrderPlanner, PlannerAction,
    PlannerEvent,
};
pub use record::{
    CONFIGURATION_KEY, ChangeId, ChangeSummary, Digest, MOST_RECORD_BYTES, RECENT_CHANGES, Record,
    Stamp,
};
pub use settings::Settings;
pub use switches::Mechanism;
