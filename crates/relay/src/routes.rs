//! Routes, services and limits in force: the operators' configuration of the relay.

use std::collections::BTreeMap;

use dahlia_backends::{ColdLimit, EngineCapacity, ServiceName};
use dahlia_limits::RateLimit;
use dahlia_types::{Duration, KeyDigest, TenantId, Tokens};
use serde::{Deserialize, Serialize};

/// One complete generation of the configuration.
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
    /// The tenants that may send requests; none if callers need no key.
    pub tenants: Option<Vec<Tenant>>,
}

/// A customer of the operator, identified by its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, unique, without control characters.
    pub name: TenantId,
    /// Digests of its keys. No other tenant has one of them.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, 0 first, which takes precedence over the rank of their routes; none
    /// leaves the rank to the route.
    pub priority: Option<u32>,
    /// Its rate limit; none if the rate is not limited.
    pub limit: Option<RateLimit>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// It may run again.
    Repeatable,
    /// It runs at most once for each attempt of the caller.
    AtMostOnce,
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: f64,
}

/// A route: which requests it takes and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, unique.
    pub name: String,
    /// Host that it serves, without a port.
    pub host: String,
    /// Begins and ends with a slash. The longest prefix that matches the path wins.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub repeatability: Repeatability,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// Whether a broken stream may resume at another server after its last event.
    pub is_resumable: bool,
    /// Services with their shares; at least one.
    pub targets: Vec<WeightedService>,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is in time.
    pub objective: Duration,
    /// Longest interval between events for an answer that is in time.
    pub gap_objective: Option<Duration>,
    /// Most servers that one attempt of a caller may run on.
    pub max_attempts: u32,
    /// Rank among routes, 0 first.
    pub priority: u32,
    /// Whether requests need no key of a tenant.
    pub is_open: bool,
    /// Whether requests of a program are served better by the server of its last request.
    pub is_sticky: bool,
    /// Whether the system retains the text of turns, so that callers send only new input.
    pub retains_turns: bool,
    /// How long a turn is retained after its end.
    pub retention: Duration,
}

/// The specification of a service's model servers.
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
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// The specification of its model servers, if it has any.
    pub engine: Option<EngineSpecification>,
    /// The rate limit of a recently started server; none if such a server can take as much as a
    /// warm one.
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
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl RouteTable {
    /// The capacities of the model servers of each service that has any.
    pub fn engine_capacities(&self) -> BTreeMap<ServiceName, EngineCapacity> {
        let engine = |service: &Service| {
            let memory = service.engine.as_ref()?.memory;
            Some((service.name.clone(), EngineCapacity { memory }))
        };
        self.services.iter().filter_map(engine).collect()
    }

    /// The rate limits of cold servers, for the services that have one.
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
