//! One daemon: sockets, timers, tasks, logs and metrics around the node.
//!
//! | module | job |
//! |---|---|
//! | `settings` | the settings file, checked as a whole |
//! | `cli` | flags and signals |
//! | `assembly` | starts a whole daemon and stops it in order |
//! | `control` | starts the parts that control the system |
//! | `core` | the task that drives the node |
//! | `core_handle` | the other parts' channel to that task |
//! | `gateway` | callers' HTTP |
//! | `operators` | operators' RPC |
//! | `peers`, `frames`, `datagrams`, `handshake` | connections between daemons |
//! | `engines`, `attempt` | tasks that communicate with engines |
//! | `chunk_store` | the thread that owns the data folder |
//! | `group_log` | syncs of replica groups |
//! | `configuration_client` | access to the configuration in the key-value service |
//! | `failure_reports` | reports of back-end failures to and from other daemons |
//! | `first_document` | the initial configuration of a new system |
//! | `known_peers` | addresses of other daemons, saved for the next start |
//! | `document_copies` | copies of shared documents in the data folder |
//! | `layout_store` | storage of the first layout of groups |
//! | `ledger_breaker` | a circuit breaker for ledgers that do not answer |
//! | `ledger_client` | sends a relay's commands to the ledgers in replica groups |
//! | `limit_client` | sends a relay's requests to the keepers of tenants' rate limits |
//! | `group_services` | both clients behind the traits that a relay uses |
//! | `listeners` | listening sockets |
//! | `load_sharing` | load reports of servers to and from other daemons |
//! | `loop_delay` | how long the event loop of the process stood still |
//! | `machine_list` | reads the platform's list of machines |
//! | `node_settings` | the node's settings, derived from the daemon's |
//! | `turn_away` | retry delays for callers that a cut-off daemon refuses |
//! | `slow_steps` | reports steps on the disk that take long while they run |
//! | `stream_origins` | where streams began, to and from other daemons |
//! | `traffic` | bytes and messages sent to other daemons, by kind |
//! | `answers`, `serve_answers` | buffers of answers' text, and serving their readers |

mod answers;
pub mod assembly;
mod attempt;
pub mod bounded_server;
pub mod chunk_store;
pub mod cli;
pub mod clock;
mod configuration_client;
pub mod control;
pub mod core;
pub mod core_handle;
pub mod crash_reports;
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
mod layout_client;
pub mod layout_store;
pub mod ledger_breaker;
pub mod ledger_client;
pub mod limit_client;
pub mod listeners;
pub mod load_sharing;
pub mod logging;
pub mod loop_delay;
mod machine_list;
pub mod metrics;
pub mod metrics_server;
mod node_settings;
mod operators;
pub mod peers;
pub mod reconnect;
mod serve_answers;
pub mod settings;
pub mod slow_steps;
pub mod stream_origins;
pub mod suspect_pages;
pub mod traffic;
pub mod turn_away;
