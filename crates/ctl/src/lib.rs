//! The operators' command line: one RPC for each command, shown as a table or as JSON.
//!
//! | module | job |
//! |---|---|
//! | `arguments` | commands and flags |
//! | `connection` | the way to a daemon |
//! | `commands` | what each command asks |
//! | `configuration` | the commands on the configuration |
//! | `output` | tables and JSON |
//! | `failure` | errors and exit codes |

pub mod arguments;
mod commands;
mod configuration;
mod connection;
mod failure;
mod output;

pub use commands::run;
pub use failure::{Failure, exit_code};
