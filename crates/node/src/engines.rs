//! What this node knows of engines: their last reports and its own dispatches since.

use std::collections::BTreeMap;

use dahlia_placement::{
    EngineCapacity, EngineDescription, EngineReport as PlacementReport, Event as PlacementEvent,
};
use dahlia_types::{Duration, EngineId, Incarnation, ModelId, Timestamp, Tokens, Zone};
use serde::{Deserialize, Serialize};

use crate::engine_sources::LeavingSource;
use crate::node::Node;

/// A report older than this does not count: the engine may be gone.
const REPORT_LIFE: Duration = Duration::from_secs(10);

/// A report may describe the engine as it was so long ago.
const REPORT_LAG: Duration = Duration::from_secs(3);

/// One way to an engine of the same zone.
const SAME_ZONE_DISTANCE: Duration = Duration::from_micros(200);
/// One way to an engine of another zone of the region (BRIEF, sizes of today).
const OTHER_ZONE_DISTANCE: Duration = Duration::from_micros(1_500);
const ASSUMED_PREFILL_PER_SECOND: f64 = 30_000.0;
const ASSUMED_STEP: Duration = Duration::from_millis(20);
const ASSUMED_STEP_PER_SEQUENCE: Duration = Duration::from_micros(150);
const ASSUMED_BATCH: u32 = 64;

/// An engine's word about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// When the engine made the report.
    pub at: Timestamp,
    /// Models, adapters and versions that are loaded.
    pub models: Vec<ModelId>,
    /// Attempts that generate.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// Prompt tokens still to be computed.
    pub prefill_backlog: Tokens,
    /// Cache in use.
    pub cache_used: Tokens,
    /// The part of it that running attempts use.
    pub cache_pinned: Tokens,
    /// Cache in all.
    pub cache_capacity: Tokens,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// An engine as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Its last report.
    pub report: EngineReport,
    /// How long ago that arrived.
    pub age: Duration,
    /// Whether it reported lately.
    pub reachable: bool,
    /// Who takes it out of service, if anybody does.
    pub leaving: Option<LeavingSource>,
    /// Where it listens, if that is known.
    pub address: Option<std::net::SocketAddr>,
}

/// An engine that was not heard of for so long gets no new work: it may have begun to leave. What
/// is known of its cache is kept.
const REPORT_TRUST: Duration = Duration::from_secs(3);

/// What is known of one engine.
struct KnownEngine {
    report: EngineReport,
    heard: Timestamp,
    usable: bool,
    leaving: Option<LeavingSource>,
    /// Its reports may be older than its last refusal until then.
    refuses_until: Timestamp,
    /// Whether its last report is too old for new work.
    doubted: bool,
}

/// All engines that reported, as this node sees them.
pub(crate) struct EngineTable {
    zone: Zone,
    engines: BTreeMap<EngineId, KnownEngine>,
}

impl EngineTable {
    /// Knows no engine; `zone` is this node's own.
    pub(crate) fn new(zone: Zone) -> Self {
        Self { zone, engines: BTreeMap::new() }
    }

    /// Engines heard of lately.
    pub(crate) fn live(&self, now: Timestamp) -> usize {
        self.engines.values().filter(|known| now.since(known.heard) < REPORT_LIFE).count()
    }

    /// The last report of an engine.
    pub(crate) fn report(&self, engine: &EngineId) -> Option<&EngineReport> {
        self.engines.get(engine).map(|known| &known.report)
    }

    /// The last report of each engine.
    pub(crate) fn reports(&self) -> Vec<EngineReport> {
        self.engines.values().map(|known| known.report.clone()).collect()
    }

    /// Notes who takes an engine out of service. Gives who did before; none for an engine that is
    /// silent or was never heard of.
    pub(crate) fn set_leaving(
        &mut self,
        engine: &EngineId,
        leaving: Option<LeavingSource>,
    ) -> Option<Option<LeavingSource>> {
        let known = self.engines.get_mut(engine).filter(|known| known.usable)?;
        Some(std::mem::replace(&mut known.leaving, leaving))
    }

    /// The present life of each engine.
    pub(crate) fn lives(&self) -> Vec<(EngineId, Incarnation)> {
        let life = |known: &KnownEngine| (known.report.engine.clone(), known.report.incarnation);
        self.engines.values().map(life).collect()
    }

    fn distance(&self, zone: &Zone) -> Duration {
        if *zone == self.zone { SAME_ZONE_DISTANCE } else { OTHER_ZONE_DISTANCE }
    }

    /// Whether an engine was heard of so lately that it may be given work.
    pub(crate) fn is_trusted(&self, engine: &EngineId, now: Timestamp) -> bool {
        self.engines.get(engine).is_some_and(|known| now.since(known.heard) < REPORT_TRUST)
    }

    /// Engines whose last report became too old for new work since the last look.
    fn take_doubted(&mut self, now: Timestamp) -> Vec<EngineId> {
        let mut doubted = Vec::new();
        for (engine, known) in &mut self.engines {
            if known.usable && !known.doubted && now.since(known.heard) >= REPORT_TRUST {
                known.doubted = true;
                doubted.push(engine.clone());
            }
        }
        doubted
    }

    /// Engines that fell silent since the last look.
    fn take_silent(&mut self, now: Timestamp) -> Vec<EngineId> {
        let mut silent = Vec::new();
        for (engine, known) in &mut self.engines {
            if known.usable && now.since(known.heard) >= REPORT_LIFE {
                known.usable = false;
                silent.push(engine.clone());
            }
        }
        silent
    }
}

impl Node {
    /// An engine reported to this node.
    pub(crate) fn engine_reported(&mut self, mut report: EngineReport, now: Timestamp) {
        let before = self.engines.engines.get(&report.engine);
        let same_life = before.filter(|known| known.report.incarnation == report.incarnation);
        let refuses_until = same_life.map_or(Timestamp::ZERO, |known| known.refuses_until);
        report.leaving |= now < refuses_until;
        let restarted = before.is_some_and(|known| known.report.incarnation < report.incarnation);
        // Reports of an earlier life may still be under way; they describe nothing that exists.
        if before.is_some_and(|known| known.report.incarnation > report.incarnation) {
            return;
        }
        let ignored = self.settings.faults.ignore_leaving;
        let leaving = self.sources.leaving(&report).filter(|_| !ignored);
        let was_used =
            before.is_some_and(|known| known.usable && !known.doubted && known.leaving.is_none());
        let unchanged =
            was_used && !restarted && before.is_some_and(|it| it.report.models == report.models);
        let load = PlacementEvent::EngineReport(PlacementReport {
            engine: report.engine.clone(),
            incarnation: report.incarnation,
            reported_at: report.at,
            running: report.running,
            waiting: report.queued,
            prefill_backlog: report.prefill_backlog,
            resident: report.cache_used,
            pinned: report.cache_pinned,
            models: report.models.clone(),
            draining: leaving.is_some(),
        });
        let (engine, incarnation) = (report.engine.clone(), report.incarnation);
        let known = KnownEngine {
            report: report.clone(),
            heard: now,
            usable: true,
            leaving,
            refuses_until,
            doubted: false,
        };
        self.engines.engines.insert(engine.clone(), known);
        if restarted {
            self.engine_restarted(&engine, incarnation, now);
        }
        match leaving {
            None if !unchanged => self.engine_joins(&report, now),
            Some(source) if was_used => self.engine_leaves(&engine, source, now),
            _ => {}
        }
        self.schedule(load, now);
    }

    /// An engine refused an attempt: it takes no new work, whatever its last report said.
    pub(crate) fn engine_refuses_work(
        &mut self,
        engine: &EngineId,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        let known = self.engines.engines.get_mut(engine);
        let Some(known) = known.filter(|known| known.report.incarnation == incarnation) else {
            return;
        };
        known.refuses_until = now + REPORT_LAG;
        let mut report = known.report.clone();
        report.leaving = true;
        self.engine_reported(report, now);
    }

    /// An engine may be given work from now on.
    pub(crate) fn engine_joins(&mut self, report: &EngineReport, now: Timestamp) {
        let joined = EngineDescription {
            engine: report.engine.clone(),
            incarnation: report.incarnation,
            zone: report.zone.clone(),
            one_way_delay: self.engines.distance(&report.zone),
            models: report.models.clone(),
            capacity: capacity_of(report),
        };
        self.schedule(PlacementEvent::EngineJoined(joined), now);
    }

    /// Engines as operators see them.
    pub fn engine_views(&self, now: Timestamp) -> Vec<EngineView> {
        let view = |known: &KnownEngine| {
            let age = now.since(known.heard);
            EngineView {
                report: known.report.clone(),
                age,
                reachable: age < REPORT_LIFE,
                leaving: known.leaving,
                address: self.sources.address(&known.report.engine),
            }
        };
        self.engines.engines.values().map(view).collect()
    }

    /// Takes engines out of use that fell silent.
    pub(crate) fn check_engines(&mut self, now: Timestamp) {
        for engine in self.engines.take_doubted(now) {
            log::info!(target: "engines", "{engine} does not report. No new work for it.");
            self.schedule(PlacementEvent::EngineLeaving(engine), now);
        }
        for engine in self.engines.take_silent(now) {
            log::warn!(target: "engines", "{engine} fell silent. No new work for it.");
            self.engine_state_lost(&engine, now);
            self.schedule(PlacementEvent::EngineGone(engine), now);
        }
    }
}

/// Speeds are assumed alike until an engine tells its own; sizes are its own word.
fn capacity_of(report: &EngineReport) -> EngineCapacity {
    EngineCapacity {
        kv_tokens: report.cache_capacity,
        prefill_per_second: ASSUMED_PREFILL_PER_SECOND,
        step_base: ASSUMED_STEP,
        step_per_sequence: ASSUMED_STEP_PER_SEQUENCE,
        max_batch: ASSUMED_BATCH,
        transfer_per_second: 0.0,
        // Exports to the hosts' memory are not wired to the adapter yet, so none are planned.
        host_tokens: Tokens::ZERO,
    }
}
