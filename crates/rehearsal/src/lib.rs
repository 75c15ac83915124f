//! The rehearsal tool: starts stand-ins and real daemons as processes, acts as callers and
//! operators, injects failures, and checks the results that are visible from outside.
//!
//! | module | job |
//! |---|---|
//! | `processes` | child processes that end with the tool |
//! | `cluster` | starts the stand-ins and daemons of one rehearsal |
//! | `caller` | a caller that fails over when its gateway is lost |
//! | `operator` | a client of the operator API |
//! | `demo` | `rehearse demo` |
//! | `load`, `direct` | `rehearse load` |
//! | `compare` | `rehearse compare` |
//! | `logs` | `rehearse logs` |
//! | `latency`, `process_usage` | latencies, and processor time and memory of processes |

pub mod caller;
pub mod cluster;
pub mod compare;
pub mod demo;
pub mod direct;
mod error;
mod latency;
pub mod load;
pub mod logs;
pub mod operator;
mod process_usage;
pub mod processes;

pub use error::RehearsalError;
