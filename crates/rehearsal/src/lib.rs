//! The rehearsal tool: starts stand-ins and real daemons as processes, plays callers and
//! operators, breaks things, and judges what it saw from outside.
//!
//! | module | job |
//! |---|---|
//! | `processes` | child processes that never outlive the tool |
//! | `cluster` | stand-ins and daemons of one rehearsal |
//! | `caller` | a caller that survives the loss of its gateway |
//! | `operator` | an operator's requests |
//! | `demo` | `rehearse demo` |
//! | `load`, `direct` | `rehearse load` |
//! | `compare` | `rehearse compare` |
//! | `logs` | `rehearse logs` |
//! | `latency`, `process_usage` | what a run measured |

pub mod caller;
pub mod cluster;
pub mod compare;
pub mod demo;
mod direct;
mod error;
mod latency;
pub mod load;
pub mod logs;
pub mod operator;
mod process_usage;
pub mod processes;

pub use error::RehearsalError;
