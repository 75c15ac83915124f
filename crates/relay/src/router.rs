//! Step 2: finds the route of a request and, on a split route, the service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hasher};
use std::sync::Arc;

use dahlia_backends::ServiceName;
use dahlia_types::KeyDigest;

use crate::{RankPosition, Route, RouteTable, Service, Tenant, WeightedService};

/// The routes in force, indexed for lookup.
#[derive(Debug)]
pub(crate) struct RouteIndex {
    table: Arc<RouteTable>,
    /// Indices of each host's routes, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<ServiceName, usize>,
    /// Indices of tenants by the digests of their keys.
    tenants_by_key: HashMap<KeyDigest, usize>,
    /// The position of every rank that a request may have.
    ranks: BTreeMap<Rank, RankPosition>,
    /// Whether requests may wait at the gateway while all servers are full.
    may_wait: bool,
}

/// A request's rank: its tenant's priority if it has one, else its route's; then its route's
/// priority.
type Rank = (u32, u32);

fn rank(route: &Route, tenant: Option<&Tenant>) -> Rank {
    let tenant = tenant.and_then(|tenant| tenant.priority);
    (tenant.unwrap_or(route.priority), route.priority)
}

/// All ranks that the routes can have, for every tenant.
fn all_ranks(table: &RouteTable) -> BTreeSet<Rank> {
    let priorities: BTreeSet<Option<u32>> = match &table.tenants {
        Some(tenants) => tenants.iter().map(|tenant| tenant.priority).collect(),
        None => BTreeSet::from([None]),
    };
    let ranks_of_route = |route: &Route| -> Vec<Rank> {
        let rank_for = |tenant: &Option<u32>| (tenant.unwrap_or(route.priority), route.priority);
        priorities.iter().map(rank_for).collect()
    };
    table.routes.iter().flat_map(ranks_of_route).collect()
}

impl RouteIndex {
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
        let tenants = table.tenants.iter().flatten().enumerate();
        let keys = tenants
            .flat_map(|(position, tenant)| tenant.keys.iter().map(move |key| (*key, position)));
        let tenants_by_key = keys.collect();
        let ranks = all_ranks(&table);
        let position = |rank: &Rank| (*rank, RankPosition::new(*rank, ranks.iter().copied()));
        let ranks = ranks.iter().map(position).collect();
        // Without programs or tenants there is nothing to order waiting requests by.
        let may_wait =
            table.tenants.is_some() || table.routes.iter().any(|route| route.retains_turns);
        Self { table, by_host, services, tenants_by_key, ranks, may_wait }
    }

    /// Whether callers need a key, unless their route is open.
    pub(crate) fn has_tenants(&self) -> bool {
        self.table.tenants.is_some()
    }

    pub(crate) fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Finds the route with the longest matching path prefix, and chooses the service for the key.
    pub(crate) fn find(self: &Arc<Self>, host: &str, path: &str, key: u64) -> Option<RouteMatch> {
        let positions = self.by_host.get(host)?;
        let route = *positions
            .iter()
            .find(|&&position| path.starts_with(&self.table.routes[position].path_prefix))?;
        let target = choose_target(&self.table.routes[route].targets, key)?;
        Some(RouteMatch { index: Arc::clone(self), route, target, tenant: None })
    }
}

/// The route of a request. It stays valid for the request when the routes in force change.
#[derive(Debug, Clone)]
pub(crate) struct RouteMatch {
    index: Arc<RouteIndex>,
    route: usize,
    target: usize,
    tenant: Option<usize>,
}

impl RouteMatch {
    pub(crate) fn route(&self) -> &Route {
        &self.index.table.routes[self.route]
    }

    /// Looks up the tenant of a key. Returns whether there is one.
    pub(crate) fn find_tenant(&mut self, key: KeyDigest) -> bool {
        self.tenant = self.index.tenants_by_key.get(&key).copied();
        self.tenant.is_some()
    }

    /// The tenant of the request, if callers need a key.
    pub(crate) fn tenant(&self) -> Option<&Tenant> {
        self.index.table.tenants.as_ref()?.get(self.tenant?)
    }

    /// Whether callers need a key, unless their route is open.
    pub(crate) fn has_tenants(&self) -> bool {
        self.index.has_tenants()
    }

    /// Whether the request may wait at the gateway while all servers are full.
    pub(crate) fn may_wait(&self) -> bool {
        self.index.may_wait
    }

    pub(crate) fn rank(&self) -> RankPosition {
        let rank = rank(self.route(), self.tenant());
        let position = self.index.ranks.get(&rank);
        // A request on an open route may have a rank that no tenant has.
        position.copied().unwrap_or_else(|| {
            RankPosition::new(rank, self.index.ranks.keys().copied().chain([rank]))
        })
    }

    pub(crate) fn service_name(&self) -> &ServiceName {
        &self.route().targets[self.target].service
    }

    /// The generation of the routes that matched the request.
    pub(crate) fn generation(&self) -> u64 {
        self.index.table.generation
    }

    /// The service's description, if there is one.
    pub(crate) fn service(&self) -> Option<&Service> {
        let position = *self.index.services.get(self.service_name())?;
        self.index.table.services.get(position)
    }
}

/// Returns the index of the target that a key falls to. Equal keys choose the same target, and
/// uniform keys are spread by weight.
fn choose_target(targets: &[WeightedService], key: u64) -> Option<usize> {
    let total: f64 = targets.iter().map(|target| target.weight.max(0.0)).sum();
    let mut rest = key as f64 / u64::MAX as f64 * total;
    for (position, target) in targets.iter().enumerate() {
        rest -= target.weight.max(0.0);
        if rest < 0.0 {
            return Some(position);
        }
    }
    // The subtraction was rounded, or all weights are zero.
    targets.iter().rposition(|target| target.weight > 0.0).or(targets.len().checked_sub(1))
}

/// Hashes bytes to a uniform key, which is the same in all daemons of one build.
pub(crate) fn hash_key(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}
