//! Relays callers' HTTP requests to servers of services, by routes that operators configure.
//!
//! The relay reads each request whole, matches it to a route, opens a turn in the ledger if the
//! request is a turn of a program, sends it to a server and forwards the answer as it arrives. Each
//! deployment chooses its own header names and passes them in as [`HeaderNames`].
//!
//! A request passes through these steps, one file each: `server` accepts the connection, `request`
//! checks the head and reads the body, `router` finds the route and the service, `tenant`
//! identifies the tenant and applies its rate limit, `turn` opens the turn, `exchange` loops over
//! servers, `server_slot` chooses a server or waits for one, `attempt` sends the request to that
//! server, `answer` forwards the answer, and `refusal` defines what the caller receives when there
//! is no answer.
//!
//! The relay uses hyper directly, unlike the rest of the project, which uses salvo and reqwest.
//! Those libraries rewrite paths and headers, and they do not report whether a request has left on
//! a connection. The relay's guarantees to callers depend on that report. Both libraries are built
//! on hyper.
//!
//! | module | contents |
//! |---|---|
//! | `routes` | configured routes, services and limits |
//! | `headers` | names of the headers that a deployment uses |
//! | `hop_by_hop` | headers that concern one connection only |
//! | `ledger`, `limits` | interfaces to the ledger and to the keepers of rate limits |
//! | `relay` | the state that all requests share |
//! | `server`, `caller`, `body` | callers' connections, their timeouts, bodies of answers |
//! | `caller_connections` | what callers' connections may take together, and which is closed for others |
//! | `request`, `router`, `tenant`, `turn`, `exchange`, `server_slot`, `attempt`, `answer`, `refusal` | the steps above |
//! | `memory` | memory reserved for callers and servers, and its limits |
//! | `request_body` | the body of a request while it arrives |
//! | `request_room` | ends stalled uploads for requests that find no memory |
//! | `wait_queues` | the queues of requests that wait for a server |
//! | `active_programs` | whether a request belongs to an active program |
//! | `taken_up` | streams that callers take up |
//! | `version_bound`, `stream_origins` | the software versions at which a request may run, and those at which streams began |
//! | `prompt_parts` | the shared parts of a prompt |
//! | `priority` | the priority of a request at servers |
//! | `outgoing`, `server_response` | a request as one server receives it, and its answer while it arrives |
//! | `connection`, `pool` | connections to servers, and the idle ones among them |
//! | `paced_stream` | bounds what a peer can make this process read at a stretch |
//! | `lost_answers` | what a request has had, and whether another server gets it |
//! | `list_freshness` | holds requests back while the list of servers is too old |
//! | `liveness` | servers that stop responding |
//! | `repeats`, `repeat_budget` | why a request is sent to a further server, and how often a service gets repeats |
//! | `fingerprint` | identifies a request by what a server gets of it |
//! | `crash_evidence`, `crash_records`, `crash_suspects`, `suspicion` | servers that ended under a request, and requests that reach no further server because of it |
//! | `idle_limit` | how long a connection may be idle before a request that runs once uses it |
//! | `events`, `event_boundary` | server-sent events parsed from a stream, and where they begin and end |
//! | `received_answer` | what has arrived of a server's answer, and how the answer tells where it ends |
//! | `end_confirmation`, `health_check`, `unframed_services` | whether the server of an answer that ended with its connection lived past that |
//! | `token_intervals` | how fast a stream's tokens arrive |
//! | `settings`, `counters`, `metrics` | settings, counters and Prometheus metrics |
//! | `request_log` | log lines on a request's decisions |

mod active_programs;
mod answer;
mod attempt;
mod body;
mod caller;
mod caller_connections;
mod connection;
mod counted_runs;
mod counters;
mod crash_evidence;
mod crash_records;
mod crash_suspects;
mod end_confirmation;
mod event_boundary;
mod events;
mod exchange;
mod fingerprint;
mod headers;
mod health_check;
mod hop_by_hop;
mod idle_limit;
mod ledger;
mod limits;
mod list_freshness;
mod liveness;
mod lost_answers;
mod memory;
mod metrics;
mod outgoing;
mod paced_stream;
mod pool;
mod priority;
mod prompt_parts;
mod received_answer;
mod refusal;
mod relay;
mod repeat_budget;
mod repeats;
mod request;
mod request_body;
mod request_log;
mod request_room;
mod router;
mod routes;
mod server;
mod server_response;
mod server_slot;
mod settings;
mod stream_origins;
mod suspicion;
mod taken_up;
mod tenant;
mod token_intervals;
mod turn;
mod unframed_services;
mod version_bound;
mod wait_queues;

pub use caller_connections::ConnectionLimits;
pub use counters::CounterReadings;
pub use crash_records::CrashMark;
pub use crash_suspects::{Consultation, CrashSuspects, GatewayReach, KnownMarks, SuspectRequest};
pub use event_boundary::EventBoundary;
pub use events::{Event, EventReader};
pub use fingerprint::{InvalidFingerprint, RequestFingerprint};
pub use headers::HeaderNames;
pub use ledger::{LedgerUnavailable, TurnLedger};
pub use limits::{LimitReached, TenantLimits};
pub use memory::MemoryLimits;
pub use paced_stream::{AnswerProgress, PacedStream};
pub use priority::{RankPosition, priority_level};
pub use relay::{Clock, Relay};
pub use routes::{
    CallerLimits, EngineSpecification, Repeatability, Route, RouteTable, Service, Tenant,
    WeightedService,
};
pub use settings::RelaySettings;
pub use stream_origins::{OriginRequest, StreamId, StreamOrigin, StreamOrigins};
pub use token_intervals::TokenIntervals;
