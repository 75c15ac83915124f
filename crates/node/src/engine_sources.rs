//! Who says which engines there are and which of them leave: the configuration in force, the
//! platform's list of machines, and each engine itself. They disagree at times; an engine that any
//! of them takes out of service gets no new work, at once.

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
    /// Whether the platform will take it away.
    pub leaving: bool,
}

/// The engines on the platform's list of machines. The list lags.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MachineListing {
    /// The list's revision.
    pub revision: u64,
    /// When the revision came about, by the platform's clock.
    pub at: Timestamp,
    /// The engines.
    pub engines: Vec<ListedEngine>,
}

/// Who takes an engine out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The engine itself.
    Engine,
    /// The platform's list of machines.
    MachineList,
    /// The configuration: it drains the engine or does not name it.
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

/// What the configuration and the list of machines say of engines.
#[derive(Debug, Default)]
pub(crate) struct EngineSources {
    entries: BTreeMap<EngineId, EngineEntry>,
    listing: MachineListing,
    /// Engines that were listed as leaving and were not listed as live since.
    listed_leaving: BTreeSet<EngineId>,
    /// What the driver was told last, in the order of the engines' names.
    used: Vec<EngineAddress>,
}

impl EngineSources {
    /// Who takes the engine out of service, if anybody does.
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

    /// Whether the list of machines says that the engine leaves.
    pub(crate) fn is_listed_leaving(&self, engine: &EngineId) -> bool {
        self.listed_leaving.contains(engine)
    }

    /// Where the engine listens.
    pub(crate) fn address(&self, engine: &EngineId) -> Option<SocketAddr> {
        let found = self.used.binary_search_by(|place| place.engine.cmp(engine));
        found.ok().map(|index| self.used[index].address)
    }

    fn take_listing(&mut self, listing: MachineListing) -> bool {
        let held = &self.listing;
        // Smaller revisions are older, unless the service has begun to count anew.
        if listing.revision < held.revision && listing.at <= held.at {
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

    /// Engines to talk to: those of the configuration, and those that only the list names. The
    /// latter get no new work; what they hold must still be freed.
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
    /// Puts a document in force: engines, tenants' limits, daemons to drain.
    pub(crate) fn use_document(&mut self, document: &Document, now: Timestamp) {
        self.sources.entries.clone_from(&document.engines);
        self.scheduler.set_open_call_limits(open_call_limits(document));
        self.refresh_engines(now);
        let drains = document.draining_daemons.contains(&self.settings.own.daemon);
        self.drain_by_configuration(drains, now);
    }

    /// The list of machines was read.
    pub(crate) fn machine_listing(&mut self, listing: MachineListing, now: Timestamp) {
        if self.sources.take_listing(listing) {
            self.refresh_engines(now);
        }
    }

    /// Tells the driver which engines to talk to, and placement which take work.
    fn refresh_engines(&mut self, now: Timestamp) {
        let addresses = self.sources.addresses();
        if addresses != self.sources.used {
            self.sources.used.clone_from(&addresses);
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

    /// An engine takes no new work from now on, and what waits there is taken back.
    pub(crate) fn engine_leaves(
        &mut self,
        engine: &EngineId,
        source: LeavingSource,
        now: Timestamp,
    ) {
        log::info!(target: "engines", "{engine} takes no new work, says: {}.", source.name());
        self.schedule(PlacementEvent::EngineLeaving(engine.clone()), now);
    }

    /// Whether an engine may be given new work.
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
    let of = |calls: u32| calls as usize;
    let exception = |tenant| (Clone::clone(tenant), of(document.limits_of(tenant).open_calls));
    OpenCallLimits {
        default: Some(of(document.tenant_defaults.open_calls)),
        exceptions: document.tenants.keys().map(exception).collect(),
    }
}
