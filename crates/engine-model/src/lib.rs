//! A model of one inference engine with continuous batching and a prefix cache of limited size.
//!
//! The model does no I/O and reads no clock: a driver passes in commands and timestamps and takes
//! out events. A stand-in process drives it by the wall clock, experiments by virtual time.
//!
//! Prompts are lists of [`Segment`]s (a hash and a number of tokens), so neither text nor the
//! tokens of a long history are stored.

mod attempts;
mod batch;
mod cache;
mod command;
mod configuration;
mod event;
mod fence;
mod model;
mod parameters;
mod prompt;
mod step;
mod transfer;

pub use command::{
    AfterHold, Cancel, EngineCommand, EngineOrder, EngineRefusal, EngineReply, EngineRole, Export,
    Fence, Hold, Import, OrderKind, Release, Submit,
};
pub use event::{
    AttemptStatus, CacheChange, CacheEvent, CacheSpan, EngineEvent, HeldProgram, Inventory,
    LoadReport, SpanKind,
};
pub use model::EngineModel;
pub use parameters::EngineParameters;
pub use prompt::{ChainHash, KvImage, Priority, Segment, chain_hashes};
