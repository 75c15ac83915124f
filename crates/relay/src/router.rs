//! Step 2: the route of a request and, where a route is split, the service.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hasher};
use std::sync::Arc;

use dahlia_backends::ServiceName;

use crate::{RankPlace, Route, RouteTable, Service, WeightedService};

/// Routes in force, arranged for look-up.
#[derive(Debug)]
pub(crate) struct Routing {
    table: Arc<RouteTable>,
    /// Positions of each host's routes, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<ServiceName, usize>,
    /// The place of each route's rank.
    ranks: Vec<RankPlace>,
}

impl Routing {
    pub(crate) fn new(table: Arc<RouteTable>) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|&position| {
                std::cmp::Reverse(table.routes[position].path_prefix.len())
            });
        }
        let services = table.services.iter().enumerate();
        let services =
            services.map(|(position, service)| (service.name.clone(), position)).collect();
        let ranks = || table.routes.iter().map(|route| route.priority);
        let ranks = ranks().map(|rank| RankPlace::new(rank, ranks())).collect();
        Self { table, by_host, services, ranks }
    }

    pub(crate) fn table(&self) -> &RouteTable {
        &self.table
    }

    /// The route with the longest prefix of the path, and the service that the key falls to.
    pub(crate) fn find(self: &Arc<Self>, host: &str, path: &str, key: u64) -> Option<Matched> {
        let positions = self.by_host.get(host)?;
        let route = *positions
            .iter()
            .find(|&&position| path.starts_with(&self.table.routes[position].path_prefix))?;
        let target = share_of(&self.table.routes[route].targets, key)?;
        Some(Matched { routing: Arc::clone(self), route, target })
    }
}

/// A route that a request was matched to. It stays in force for the request when routes change.
#[derive(Debug, Clone)]
pub(crate) struct Matched {
    routing: Arc<Routing>,
    route: usize,
    target: usize,
}

impl Matched {
    pub(crate) fn route(&self) -> &Route {
        &self.routing.table.routes[self.route]
    }

    pub(crate) fn rank(&self) -> RankPlace {
        self.routing.ranks[self.route]
    }

    pub(crate) fn service_name(&self) -> &ServiceName {
        &self.route().targets[self.target].service
    }

    /// The generation of the routes that it was matched by.
    pub(crate) fn generation(&self) -> u64 {
        self.routing.table.generation
    }

    /// What is known of the service.
    pub(crate) fn service(&self) -> Option<&Service> {
        let position = *self.routing.services.get(self.service_name())?;
        self.routing.table.services.get(position)
    }
}

/// The position of the share that a key falls into. Equal keys fall alike, and uniform keys fall
/// by weight.
fn share_of(targets: &[WeightedService], key: u64) -> Option<usize> {
    let total: f64 = targets.iter().map(|target| target.weight.max(0.0)).sum();
    let mut rest = key as f64 / u64::MAX as f64 * total;
    for (position, target) in targets.iter().enumerate() {
        rest -= target.weight.max(0.0);
        if rest < 0.0 {
            return Some(position);
        }
    }
    // Rounding, or no weight at all.
    targets.iter().rposition(|target| target.weight > 0.0).or(targets.len().checked_sub(1))
}

/// A uniform key of some bytes, the same in all daemons of one build.
pub(crate) fn key_of(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}
