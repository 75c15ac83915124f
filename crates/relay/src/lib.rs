//! Relays callers' HTTP requests to servers of services, by routes that operators configure.
//!
//! A request is read whole, matched to a route, opened in the ledger when it is a turn of a
//! program, sent to a server, and its answer is handed on as it arrives. The names of headers are
//! a deployment's own and come in as [`HeaderNames`].
//!
//! The way of a request, one file a step: `server` takes the connection, `request` checks the head
//! and reads the body, `router` finds route and service, `tenant` finds whose it is and whether it is
//! within its limit, `turn` opens the turn, `exchange` loops
//! over servers, `place` takes one or waits for it, `attempt` sends to one of them, `answer` hands its answer on, and `refusal` says
//! what the caller gets when there is none.
//!
//! It is built on hyper, not on salvo and reqwest as the rest of the project: those rewrite paths
//! and headers, and do not tell whether a request has left on a connection, on which every
//! promise to callers rests. hyper is what both are built on.
//!
//! | module | job |
//! |---|---|
//! | `routes` | routes, services and limits in force |
//! | `headers` | names of the headers that a deployment uses |
//! | `hop` | headers that concern one connection only |
//! | `ledger`, `limits` | what the relay asks of the ledger, and of the keepers of limits |
//! | `relay` | what all requests share |
//! | `server`, `caller`, `body` | callers' connections, their time limits, bodies of answers |
//! | `request`, `router`, `tenant`, `turn`, `exchange`, `attempt`, `answer`, `refusal` | the steps above |
//! | `memory` | bytes held for callers and servers, and their bounds |
//! | `place` | a place at a server, or a wait for it |
//! | `waiting` | the queues of those that wait |
//! | `stage` | whether a request belongs to a program under way |
//! | `prompt_parts` | which part of a prompt is shared |
//! | `urgency` | how urgent a request is to servers |
//! | `outgoing`, `live` | a request as one server gets it, and its answer while it arrives |
//! | `connection`, `pool` | connections to servers, and the idle ones |
//! | `silence` | servers that fall silent |
//! | `rest_limit` | how long a connection may have rested for a request that runs once |
//! | `events` | server-sent events cut out of a stream |
//! | `token_intervals` | how soon a stream's tokens come |
//! | `settings`, `counters`, `metrics` | settings, and what is counted and timed |
//! | `decisions` | log lines on a request's decisions |

mod answer;
mod attempt;
mod body;
mod caller;
mod connection;
mod counters;
mod decisions;
mod events;
mod exchange;
mod headers;
mod hop;
mod ledger;
mod limits;
mod live;
mod memory;
mod metrics;
mod outgoing;
mod place;
mod pool;
mod prompt_parts;
mod refusal;
mod relay;
mod request;
mod rest_limit;
mod router;
mod routes;
mod server;
mod settings;
mod silence;
mod stage;
mod tenant;
mod token_intervals;
mod turn;
mod urgency;
mod waiting;

pub use counters::CounterReadings;
pub use events::{Event, EventReader};
pub use headers::HeaderNames;
pub use ledger::{LedgerUnavailable, TurnLedger};
pub use limits::{LimitReached, TenantLimits};
pub use memory::MemoryLimits;
pub use relay::{Clock, Relay};
pub use routes::{
    CallerLimits, EngineSpecification, Repeatability, Route, RouteTable, Service, Tenant,
    WeightedService,
};
pub use settings::RelaySettings;
pub use token_intervals::TokenIntervals;
pub use urgency::{RankPosition, priority_level};
