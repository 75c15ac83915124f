//! Routes, services and limits in force: the operators' configuration of the relay.

use std::collections::BTreeMap;

use dahlia_backends::{ColdLimit, EngineCapacity, ServiceName};
use dahlia_limits::RateLimit;
use dahlia_types::{Duration, KeyDigest, TenantId, Tokens};
use serde::{Deserialize, Serialize};

/// One generation of the configuration, whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Rises with each change.
    pub generation: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Who may send requests; none where callers need no key.
    pub tenants: Option<Vec<Tenant>>,
}

/// A customer of the operator, known by its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, unique, without control characters.
    pub name: TenantId,
    /// Digests of its keys. No other tenant has one of them.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, which goes before that of their routes, 0 first; none leaves the rank
    /// to the route.
    pub priority: Option<u32>,
    /// How many requests it may send; none for any number.
    pub limit: Option<RateLimit>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// It may run again.
    Repeatable,
    /// It runs once at most for each try of the caller.
    AtMostOnce,
}

/// A part of a route's requests that one service gets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, against the sum of all weights of the route.
    pub weight: f64,
}

/// A route: which requests it takes and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, unique.
    pub name: String,
    /// Host that it serves, without a port.
    pub host: String,
    /// Begins and ends with a slash. The longest one that begins the path wins.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub repeatability: Repeatability,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// Whether a broken stream may go on at another server from its last event.
    pub is_resumable: bool,
    /// Services with their shares; one at least.
    pub targets: Vec<WeightedService>,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is in time.
    pub objective: Duration,
    /// Longest pause between events for an answer that is in time.
    pub gap_objective: Option<Duration>,
    /// Most servers that one try of a caller may run on.
    pub max_attempts: u32,
    /// Rank among routes, 0 first.
    pub priority: u32,
    /// Whether requests need no key of a tenant.
    pub is_open: bool,
    /// Whether requests of one program are better served where the last one was.
    pub is_sticky: bool,
    /// Whether the system keeps the text of turns, so that callers bring only what is new.
    pub retains_turns: bool,
    /// How long a turn is kept after its end.
    pub retention: Duration,
}

/// What is known of the model servers of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpecification {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory: Tokens,
    /// Tokens in one event of a stream, at most.
    pub tokens_per_event: Tokens,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name, unique.
    pub name: ServiceName,
    /// Path that tells whether a server is healthy.
    pub health_path: String,
    /// Connections that one server takes from all callers together.
    pub max_connections: u32,
    /// For model servers.
    pub engine: Option<EngineSpecification>,
    /// What a server bears that started of late; none where that is as much as later.
    pub cold: Option<ColdLimit>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub header_timeout: Duration,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl RouteTable {
    /// What the model servers of services have.
    pub fn engine_capacities(&self) -> BTreeMap<ServiceName, EngineCapacity> {
        let engine = |service: &Service| {
            let memory = service.engine.as_ref()?.memory;
            Some((service.name.clone(), EngineCapacity { memory }))
        };
        self.services.iter().filter_map(engine).collect()
    }

    /// What cold servers bear, for the services where that matters.
    pub fn cold_limits(&self) -> BTreeMap<ServiceName, ColdLimit> {
        let limit = |service: &Service| Some((service.name.clone(), service.cold?));
        self.services.iter().filter_map(limit).collect()
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
