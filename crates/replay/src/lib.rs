//! Replay of traces in virtual time: whole daemons as state machines, with virtual engines,
//! services, callers, operators and links, and a checker for each promise.
//!
//! | module | job |
//! |---|---|
//! | `trace` | the text format |
//! | `world` | one virtual run |
//! | `checker` | judges a run by what was seen from outside |
//! | `schedules` | random schedules of workload and faults |
//! | `shrink` | the shortest schedule that still fails |
//! | `folder` | replays every trace of a folder |
//!
//! A run follows from a trace and a seed alone; the same two give the same verdict every time.

pub mod checker;
mod error;
mod folder;
mod promise;
mod run;
pub mod schedules;
mod shrink;
mod switches;
pub mod trace;
pub mod world;

pub use error::ReplayError;
pub use folder::{ReplayOptions, ReplaySummary, TraceReport, run_folder};
pub use promise::Promise;
pub use run::{Verdict, observe, run};
pub use shrink::shrink;
pub use switches::{Switch, Switches};
