//! The operators' command line: one RPC for each command, printed as a table or as JSON.
//!
//! | module | purpose |
//! |---|---|
//! | `arguments` | commands and flags |
//! | `connection` | the connection to a daemon |
//! | `commands` | the RPC of each command |
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
