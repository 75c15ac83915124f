//! One daemon: sockets, timers, tasks, logs and metrics around the node.
//!
//! | module | job |
//! |---|---|
//! | `settings` | the settings file, checked as a whole |
//! | `cli` | flags and signals |
//! | `assembly` | starts a whole daemon and stops it in order |
//! | `control` | starts the parts that control the system |
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
//! | `known_peers` | where other daemons listen, kept for the next start |
//! | `document_copies` | copies of shared documents under the data folder |
//! | `layout_store` | where the first layout of groups is kept |
//! | `ledger_breaker` | tells silent ledgers from those that answer |
//! | `ledger_client` | puts a relay's commands to ledgers in replica groups |
//! | `limit_client` | puts a relay's requests to the keepers of tenants' rate limits |
//! | `group_services` | both of these, as a relay takes them |
//! | `listeners` | sockets that a daemon listens on |
//! | `load_sharing` | loads of servers, told to other daemons and heard from them |
//! | `machine_list` | reads the platform's list of machines |
//! | `node_settings` | what a node is told of the settings |
//! | `turn_away` | when callers may come back whom a daemon that is cut off turned away |
//! | `traffic` | what was sent to other daemons, by kind |
//! | `answers`, `serve_answers` | text of answers, and its readers |

mod answers;
pub mod assembly;
mod attempt;
mod chunk_store;
pub mod cli;
pub mod clock;
mod configuration_key;
pub mod control;
pub mod core;
pub mod core_handle;
mod datagrams;
pub mod document_copies;
mod engines;
pub mod failure_reports;
mod first_document;
pub mod frames;
mod gateway;
mod group_log;
pub mod group_services;
mod handshake;
mod known_peers;
pub mod layout_store;
pub mod ledger_breaker;
pub mod ledger_client;
pub mod limit_client;
pub mod listeners;
pub mod load_sharing;
pub mod logging;
mod machine_list;
pub mod metrics;
pub mod metrics_server;
mod node_settings;
mod operators;
pub mod peers;
mod platform_state;
pub mod reconnect;
mod serve_answers;
pub mod settings;
pub mod traffic;
pub mod turn_away;
