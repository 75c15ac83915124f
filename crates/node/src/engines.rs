//! Reports of engines to this node, and which engines may get new work according to them.

use std::collections::BTreeMap;

use dahlia_placement::{
    EngineCapacity, EngineDescription, EngineReport as PlacementReport, Event as PlacementEvent,
};
use dahlia_types::{Duration, EngineId, Incarnation, ModelId, Timestamp, Tokens, Zone};
use serde::{Deserialize, Serialize};

use crate::engine_sources::LeavingSource;
use crate::node::Node;

/// Maximum age of the last report of a live engine. An engine with an older report may be gone.
const REPORT_EXPIRY: Duration = Duration::from_secs(10);

/// Maximum delay of a report: it may describe the engine as it was this long ago.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(3);

/// One-way delay to an engine of the same zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
/// One-way delay to an engine of another zone of the region (BRIEF, sizes of today).
const OTHER_ZONE_DELAY: Duration = Duration::from_micros(1_500);
const ASSUMED_PREFILL_PER_SECOND: f64 = 30_000.0;
const ASSUMED_STEP: Duration = Duration::from_millis(20);
const ASSUMED_STEP_PER_SEQUENCE: Duration = Duration::from_micros(150);
const ASSUMED_BATCH: u32 = 64;

/// A report of an engine about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// When the engine made the report.
    pub at: Timestamp,
    /// Models, adapters and versions that are loaded.
    pub models: Vec<ModelId>,
    /// Number of attempts that generate.
    pub running: u32,
    /// Number of attempts that wait.
    pub queued: u32,
    /// Prompt tokens still to be computed.
    pub prefill_backlog: Tokens,
    /// Tokens of cache in use.
    pub cache_used: Tokens,
    /// Tokens of cache that running attempts use.
    pub cache_pinned: Tokens,
    /// Tokens of cache in total.
    pub cache_capacity: Tokens,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// The state of an engine, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Its last report.
    pub report: EngineReport,
    /// Time since the last report arrived.
    pub age: Duration,
    /// Whether its last report has not expired.
    pub reachable: bool,
    /// The source that takes it out of service, if any does.
    pub leaving: Option<LeavingSource>,
    /// The address that it listens on, if known.
    pub address: Option<std::net::SocketAddr>,
}

/// An engine whose last report is older than this gets no new work: it may have begun to leave. What is known
/// about its cache is kept.
const REPORT_TRUST_TIME: Duration = Duration::from_secs(3);

/// What is known about one engine.
struct KnownEngine {
    report: EngineReport,
    last_report_at: Timestamp,
    /// Whether its last report has not expired.
    is_live: bool,
    leaving: Option<LeavingSource>,
    /// Until then its reports may be older than its last refusal of work.
    refuses_until: Timestamp,
    /// Whether its last report is too old for new work.
    is_suspect: bool,
}

/// All engines that have reported to this node.
pub(crate) struct EngineTable {
    zone: Zone,
    engines: BTreeMap<EngineId, KnownEngine>,
}

impl EngineTable {
    /// Creates an empty table; `zone` is the zone of this node.
    pub(crate) fn new(zone: Zone) -> Self {
        Self { zone, engines: BTreeMap::new() }
    }

    /// Number of engines whose last report has not expired.
    pub(crate) fn live_count(&self, now: Timestamp) -> usize {
        self.engines
            .values()
            .filter(|known| now.since(known.last_report_at) < REPORT_EXPIRY)
            .count()
    }

    /// The last report of an engine.
    pub(crate) fn report(&self, engine: &EngineId) -> Option<&EngineReport> {
        self.engines.get(engine).map(|known| &known.report)
    }

    /// The last report of each engine.
    pub(crate) fn reports(&self) -> Vec<EngineReport> {
        self.engines.values().map(|known| known.report.clone()).collect()
    }

    /// Sets the source that takes an engine out of service, and returns the previous one. None for an engine
    /// that is not live.
    pub(crate) fn set_leaving(
        &mut self,
        engine: &EngineId,
        leaving: Option<LeavingSource>,
    ) -> Option<Option<LeavingSource>> {
        let known = self.engines.get_mut(engine).filter(|known| known.is_live)?;
        Some(std::mem::replace(&mut known.leaving, leaving))
    }

    /// The current incarnation of each engine.
    pub(crate) fn incarnations(&self) -> Vec<(EngineId, Incarnation)> {
        let incarnation =
            |known: &KnownEngine| (known.report.engine.clone(), known.report.incarnation);
        self.engines.values().map(incarnation).collect()
    }

    fn one_way_delay(&self, zone: &Zone) -> Duration {
        if *zone == self.zone { SAME_ZONE_DELAY } else { OTHER_ZONE_DELAY }
    }

    /// Whether the last report of an engine is recent enough for new work.
    pub(crate) fn is_trusted(&self, engine: &EngineId, now: Timestamp) -> bool {
        self.engines
            .get(engine)
            .is_some_and(|known| now.since(known.last_report_at) < REPORT_TRUST_TIME)
    }

    /// Engines whose last report became too old for new work since the last call.
    fn take_suspects(&mut self, now: Timestamp) -> Vec<EngineId> {
        let mut suspects = Vec::new();
        for (engine, known) in &mut self.engines {
            if known.is_live
                && !known.is_suspect
                && now.since(known.last_report_at) >= REPORT_TRUST_TIME
            {
                known.is_suspect = true;
                suspects.push(engine.clone());
            }
        }
        suspects
    }

    /// Engines whose last report expired since the last call.
    fn take_expired(&mut self, now: Timestamp) -> Vec<EngineId> {
        let mut expired = Vec::new();
        for (engine, known) in &mut self.engines {
            if known.is_live && now.since(known.last_report_at) >= REPORT_EXPIRY {
                known.is_live = false;
                expired.push(engine.clone());
            }
        }
        expired
    }
}

impl Node {
    /// Handles a report of an engine.
    pub(crate) fn engine_reported(&mut self, mut report: EngineReport, now: Timestamp) {
        let before = self.engines.engines.get(&report.engine);
        let same_incarnation =
            before.filter(|known| known.report.incarnation == report.incarnation);
        let refuses_until = same_incarnation.map_or(Timestamp::ZERO, |known| known.refuses_until);
        report.leaving |= now < refuses_until;
        let restarted = before.is_some_and(|known| known.report.incarnation < report.incarnation);
        // Reports of an earlier incarnation may still arrive; they describe an engine that no longer exists.
        if before.is_some_and(|known| known.report.incarnation > report.incarnation) {
            return;
        }
        let ignored = self.settings.faults.ignore_leaving;
        let leaving = self.sources.leaving(&report).filter(|_| !ignored);
        let was_used = before
            .is_some_and(|known| known.is_live && !known.is_suspect && known.leaving.is_none());
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
            last_report_at: now,
            is_live: true,
            leaving,
            refuses_until,
            is_suspect: false,
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

    /// Records that an engine refused an attempt: it gets no new work, whatever its last report said.
    pub(crate) fn record_engine_refusal(
        &mut self,
        engine: &EngineId,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        let known = self.engines.engines.get_mut(engine);
        let Some(known) = known.filter(|known| known.report.incarnation == incarnation) else {
            return;
        };
        known.refuses_until = now + MAX_REPORT_DELAY;
        let mut report = known.report.clone();
        report.leaving = true;
        self.engine_reported(report, now);
    }

    /// Makes an engine available for new work.
    pub(crate) fn engine_joins(&mut self, report: &EngineReport, now: Timestamp) {
        let joined = EngineDescription {
            engine: report.engine.clone(),
            incarnation: report.incarnation,
            zone: report.zone.clone(),
            one_way_delay: self.engines.one_way_delay(&report.zone),
            models: report.models.clone(),
            capacity: capacity_of(report),
        };
        self.schedule(PlacementEvent::EngineJoined(joined), now);
    }

    /// The state of all engines, as shown to operators.
    pub fn engine_views(&self, now: Timestamp) -> Vec<EngineView> {
        let view = |known: &KnownEngine| {
            let age = now.since(known.last_report_at);
            EngineView {
                report: known.report.clone(),
                age,
                reachable: age < REPORT_EXPIRY,
                leaving: known.leaving,
                address: self.sources.address(&known.report.engine),
            }
        };
        self.engines.engines.values().map(view).collect()
    }

    /// Stops new work for engines whose reports are too old, and drops those whose reports have expired.
    pub(crate) fn check_engine_reports(&mut self, now: Timestamp) {
        for engine in self.engines.take_suspects(now) {
            log::info!(target: "engines", "{engine} does not report. No new work for it.");
            self.schedule(PlacementEvent::EngineLeaving(engine), now);
        }
        for engine in self.engines.take_expired(now) {
            log::warn!(target: "engines", "{engine} fell silent. No new work for it.");
            self.engine_state_lost(&engine, now);
            self.schedule(PlacementEvent::EngineGone(engine), now);
        }
    }
}

/// Capacity of an engine. Sizes come from its report. Speeds are assumed to be equal until engines report them.
fn capacity_of(report: &EngineReport) -> EngineCapacity {
    EngineCapacity {
        kv_tokens: report.cache_capacity,
        prefill_per_second: ASSUMED_PREFILL_PER_SECOND,
        step_base: ASSUMED_STEP,
        step_per_sequence: ASSUMED_STEP_PER_SEQUENCE,
        max_batch: ASSUMED_BATCH,
        transfer_per_second: 0.0,
        // The adapter does not support exports to host memory yet, so none are planned.
        host_tokens: Tokens::ZERO,
    }
}
