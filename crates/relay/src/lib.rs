//! Relays callers' HTTP requests to servers of services, by routes that operators configure.
//!
//! A request is read whole, matched to a route, opened in the ledger when it is a turn of a
//! program, sent to a server, and its answer is handed on as it arrives. The names of headers are
//! a deployment's own and come in as [`HeaderNames`].
//!
//! | module | job |
//! |---|---|
//! | `routes` | routes, services and limits in force |
//! | `headers` | names of the headers that a deployment uses |
//! | `ledger` | what the relay asks of the ledger |

mod counters;
mod headers;
mod ledger;
mod relay;
mod routes;
mod settings;

pub use counters::CounterReadings;
pub use headers::HeaderNames;
pub use ledger::{LedgerUnavailable, TurnLedger};
pub use relay::{Clock, Relay};
pub use routes::{
    CallerLimits, EngineSpecification, Repeatability, Route, RouteTable, Service, WeightedService,
};
pub use settings::RelaySettings;
