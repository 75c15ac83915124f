//! Placement of calls on engines: routing, admission, priorities and cache retention.
//!
//! A scheduler is a deterministic state machine without I/O: it takes events with their times and
//! returns actions. The daemon and the experiments drive the same code.

mod action;
mod admission;
mod call;
mod circuit_breaker;
mod cost;
mod engine_table;
mod event;
mod policy;
mod priority;
mod programs;
mod queue;
mod retention;
mod retry;
mod scheduler;
mod settings;
mod shared_prefix;
mod stats;

pub use action::{Action, CacheTier, CopySource, RefusalReason, ReleaseReason};
pub use admission::OpenCallLimits;
pub use event::{
    AttemptFailure, CacheNotice, ChainPause, EngineCapacity, EngineDescription, EngineInventory,
    EngineReport, Event, FailedAttempt, HistorySegment, ReadyCall,
};
pub use scheduler::Scheduler;
pub use settings::{
    AdmissionSettings, CostSettings, FailureSettings, PlacementSettings, PolicyKind,
    PrioritySettings, RetentionSettings,
};
pub use stats::SchedulerStats;
