//! The sources that say which engines exist and which of them leave: the configuration in force, the platform's
//! list of machines, and each engine itself. They may disagree; an engine that any of them takes out of service
//! gets no new work from then on.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_configuration::{Document, EngineEntry, EngineRole};
use dahlia_placement::{Event as PlacementEvent, OpenCallLimits};
use dahlia_types::{EngineId, Timestamp, Zone};

use crate::Action;
use crate::engines::EngineReport;
use crate::node::Node;

/// Where an engine listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineAddress {
    /// The engine.
    pub engine: EngineId,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
}

/// An engine on the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEngine {
    /// Where it listens.
    pub place: EngineAddress,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// The engines on the platform's list of machines. The list lags behind the machines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MachineListing {
    /// The list's revision.
    pub revision: u64,
    /// When the revision was made, by the platform's clock.
    pub at: Timestamp,
    /// The engines.
    pub engines: Vec<ListedEngine>,
}

/// The source that takes an engine out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The engine itself.
    Engine,
    /// The platform's list of machines.
    MachineList,
    /// The configuration, which drains the engine or does not name it.
    Configuration,
}

impl LeavingSource {
    /// The source's name for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::MachineList => "machine list",
            Self::Configuration => "configuration",
        }
    }
}

/// What the configuration and the list of machines say about engines.
#[derive(Debug, Default)]
pub(crate) struct EngineSources {
    entries: BTreeMap<EngineId, EngineEntry>,
    listing: MachineListing,
    /// Engines that were listed as leaving and have not been listed as live since.
    listed_leaving: BTreeSet<EngineId>,
    /// The addresses last given to the driver, sorted by the engines' names.
    used_addresses: Vec<EngineAddress>,
}

impl EngineSources {
    /// The source that takes the engine out of service, if any does.
    pub(crate) fn leaving(&self, report: &EngineReport) -> Option<LeavingSource> {
        if report.leaving {
            return Some(LeavingSource::Engine);
        }
        if self.is_listed_leaving(&report.engine) {
            return Some(LeavingSource::MachineList);
        }
        let role = self.entries.get(&report.engine).map(|entry| entry.role);
        (role != Some(EngineRole::Serving)).then_some(LeavingSource::Configuration)
    }

    /// Whether the list of machines names the engine as leaving.
    pub(crate) fn is_listed_leaving(&self, engine: &EngineId) -> bool {
        self.listed_leaving.contains(engine)
    }

    /// The address that the engine listens on.
    pub(crate) fn address(&self, engine: &EngineId) -> Option<SocketAddr> {
        let found = self.used_addresses.binary_search_by(|place| place.engine.cmp(engine));
        found.ok().map(|index| self.used_addresses[index].address)
    }

    /// Applies a listing. Returns false if it is older than the current one.
    fn apply_listing(&mut self, listing: MachineListing) -> bool {
        let current = &self.listing;
        // A smaller revision is older, unless the service has restarted its count.
        if listing.revision < current.revision && listing.at <= current.at {
            return false;
        }
        for listed in &listing.engines {
            let engine = &listed.place.engine;
            if listed.leaving {
                self.listed_leaving.insert(engine.clone());
            } else {
                self.listed_leaving.remove(engine);
            }
        }
        self.listing = listing;
        true
    }

    /// Addresses of all engines of the configuration and of those that only the list names. The latter get no
    /// new work, but the memory that they hold must still be freed.
    fn addresses(&self) -> Vec<EngineAddress> {
        let listed = self.listing.engines.iter();
        let mut found: BTreeMap<EngineId, EngineAddress> =
            listed.map(|it| (it.place.engine.clone(), it.place.clone())).collect();
        for (engine, entry) in &self.entries {
            let known = found.get(engine);
            let address = entry.address.or(known.map(|it| it.address));
            let zone = entry.zone.clone().or_else(|| known.map(|it| it.zone.clone()));
            // Without a zone the engine counts as far away, whichever zone asks.
            let zone = zone.unwrap_or_else(|| Zone::new(""));
            if let Some(address) = address {
                let place = EngineAddress { engine: engine.clone(), address, zone };
                found.insert(engine.clone(), place);
            }
        }
        found.into_values().collect()
    }
}

impl Node {
    /// Applies a configuration document: engines, tenants' limits, daemons to drain.
    pub(crate) fn apply_document(&mut self, document: &Document, now: Timestamp) {
        self.sources.entries.clone_from(&document.engines);
        self.scheduler.set_open_call_limits(open_call_limits(document));
        self.refresh_engines(now);
        let drains = document.draining_daemons.contains(&self.settings.own.daemon);
        self.drain_by_configuration(drains, now);
    }

    /// Applies a listing of machines.
    pub(crate) fn update_machine_listing(&mut self, listing: MachineListing, now: Timestamp) {
        if self.sources.apply_listing(listing) {
            self.refresh_engines(now);
        }
    }

    /// Updates the addresses of engines in the driver, and the engines that take new work in placement.
    fn refresh_engines(&mut self, now: Timestamp) {
        let addresses = self.sources.addresses();
        if addresses != self.sources.used_addresses {
            self.sources.used_addresses.clone_from(&addresses);
            self.actions.push(Action::SetEngines(addresses));
        }
        for report in self.engines.reports() {
            let leaving = self.sources.leaving(&report);
            let Some(before) = self.engines.set_leaving(&report.engine, leaving) else {
                continue;
            };
            match (before, leaving) {
                (None, Some(source)) => self.engine_leaves(&report.engine, source, now),
                (Some(_), None) => self.engine_joins(&report, now),
                _ => {}
            }
        }
    }

    /// Stops new work for an engine. Placement recalls the attempts that wait there.
    pub(crate) fn engine_leaves(
        &mut self,
        engine: &EngineId,
        source: LeavingSource,
        now: Timestamp,
    ) {
        log::info!(target: "engines", "{engine} takes no new work. Source: {}.", source.name());
        self.schedule(PlacementEvent::EngineLeaving(engine.clone()), now);
    }

    /// Whether an engine may get new work.
    pub(crate) fn may_use(&self, engine: &EngineId, now: Timestamp) -> bool {
        if self.settings.faults.ignore_leaving {
            return true;
        }
        let report = self.engines.report(engine);
        self.engines.is_trusted(engine, now)
            && report.is_some_and(|report| self.sources.leaving(report).is_none())
    }
}

fn open_call_limits(document: &Document) -> OpenCallLimits {
    let limit = |calls: u32| calls as usize;
    let exception = |tenant| (Clone::clone(tenant), limit(document.limits_of(tenant).open_calls));
    OpenCallLimits {
        default: Some(limit(document.tenant_defaults.open_calls)),
        exceptions: document.tenants.keys().map(exception).collect(),
    }
}
