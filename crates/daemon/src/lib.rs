//! One daemon: sockets, timers, tasks, logs and metrics around the node.
//!
//! | module | job |
//! |---|---|
//! | `settings` | the settings file, checked as a whole |
//! | `cli` | flags and signals |
//! | `assembly` | starts everything and stops it in order |
//! | `core` | the task that drives the node |
//! | `gateway` | callers' HTTP |
//! | `operators` | operators' RPC |
//! | `peers`, `frames`, `handshake` | connections between daemons |
//! | `engines`, `attempt` | tasks that talk to engines |
//! | `answers`, `serve_answers` | text of answers, and its readers |

mod answers;
pub mod assembly;
mod attempt;
pub mod cli;
mod clock;
pub mod core;
mod engines;
pub mod frames;
mod gateway;
mod handshake;
pub mod logging;
mod metrics;
mod operators;
pub mod peers;
mod platform_state;
mod serve_answers;
pub mod settings;
