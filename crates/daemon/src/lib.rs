//! One daemon: sockets, timers, tasks, logs and metrics around the node.
//!
//! | module | job |
//! |---|---|
//! | `settings` | the settings file, checked as a whole |
//! | `cli` | flags and signals |
//! | `assembly` | starts everything and stops it in order |
//! | `core` | the task that drives the node |
//! | `core_handle` | how all other parts talk to that task |
//! | `gateway` | callers' HTTP |
//! | `operators` | operators' RPC |
//! | `peers`, `frames`, `datagrams`, `handshake` | connections between daemons |
//! | `engines`, `attempt` | tasks that talk to engines |
//! | `chunk_store` | the thread that owns the data folder |
//! | `group_log` | syncs of replica groups |
//! | `configuration_key` | the configuration at the key-value service |
//! | `failure_reports` | failures of back ends, told to other daemons and heard from them |
//! | `first_document` | the configuration that a new system starts with |
//! | `kept_addresses` | where other daemons listen, kept for the next start |
//! | `kept_documents` | copies of shared documents under the data folder |
//! | `layout_store` | where the first layout of groups is kept |
//! | `ledger_breaker` | tells silent ledgers from those that answer |
//! | `ledger_client` | puts a relay's commands to ledgers in replica groups |
//! | `machine_list` | reads the platform's list of machines |
//! | `answers`, `serve_answers` | text of answers, and its readers |

mod answers;
pub mod assembly;
mod attempt;
mod chunk_store;
pub mod cli;
pub mod clock;
mod configuration_key;
pub mod core;
pub mod core_handle;
mod datagrams;
mod engines;
pub mod failure_reports;
mod first_document;
pub mod frames;
mod gateway;
mod group_log;
mod handshake;
mod kept_addresses;
pub mod kept_documents;
pub mod layout_store;
pub mod ledger_breaker;
pub mod ledger_client;
pub mod logging;
mod machine_list;
pub mod metrics;
pub mod metrics_server;
mod operators;
pub mod peers;
mod platform_state;
pub mod reconnect;
mod serve_answers;
pub mod settings;
