//! How long a program's cache is worth keeping over a pause.
//!
//! Holding costs memory x time; dropping costs recomputation if the program comes back. Both grow
//! with the number of tokens, so the best time-to-live depends only on how long pauses last, on
//! the chance of a return, and on how scarce memory is (time-to-live over tool pauses, Continuum
//! 2025; keep or drop by expected waste, InferCept 2024).

mod histogram;

use std::collections::BTreeMap;

use dahlia_types::{Duration, TenantId};

use self::histogram::PauseHistogram;
use crate::RetentionSettings;

/// Tools with a distribution of their own; more share one.
const MOST_TOOLS: usize = 512;
/// Pairs of tenant and tool with a distribution of their own.
const MOST_TENANT_TOOLS: usize = 2048;
/// Weight of observations from which a narrower distribution is trusted.
const TRUSTED_WEIGHT: f64 = 30.0;
/// Occupancy below which memory counts as idle, and from which it counts as full.
const IDLE_OCCUPANCY: f64 = 0.5;
const FULL_OCCUPANCY: f64 = 0.95;
/// The name for a pause whose cause is not known.
const UNKNOWN_TOOL: &str = "";

/// How a pause ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PauseEnd {
    /// The chain came back after this long.
    Returned(Duration),
    /// The program ended without coming back.
    Never,
}

/// What to do with the cache over a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PausePlan {
    /// Keep it in the engine for this long.
    pub hold: Duration,
    /// Then copy it to the host's memory rather than drop it.
    pub offload: bool,
}

/// Learnt distributions of pauses.
#[derive(Debug)]
pub(crate) struct Retention {
    settings: RetentionSettings,
    all: PauseHistogram,
    tools: BTreeMap<String, PauseHistogram>,
    tenant_tools: BTreeMap<(TenantId, String), PauseHistogram>,
}

impl Retention {
    pub(crate) fn new(settings: RetentionSettings) -> Self {
        Self {
            all: PauseHistogram::with_prior(),
            tools: BTreeMap::new(),
            tenant_tools: BTreeMap::new(),
            settings,
        }
    }

    /// Learns from a pause that ended.
    pub(crate) fn learn(&mut self, tenant: &TenantId, tool: Option<&str>, end: PauseEnd) {
        let memory = self.settings.memory;
        let tool = tool.unwrap_or(UNKNOWN_TOOL);
        self.all.add(end, memory);
        if self.tools.contains_key(tool) || self.tools.len() < MOST_TOOLS {
            self.tools.entry(tool.to_owned()).or_default().add(end, memory);
        }
        let key = (tenant.clone(), tool.to_owned());
        if self.tenant_tools.contains_key(&key) || self.tenant_tools.len() < MOST_TENANT_TOOLS {
            self.tenant_tools.entry(key).or_default().add(end, memory);
        }
    }

    /// The plan with the least expected cost for a pause that begins now.
    ///
    /// `copy_cost` is the time of one transfer to or from the host's memory over the time of
    /// recomputation; none when there is no such memory.
    pub(crate) fn plan(
        &self,
        tenant: &TenantId,
        tool: Option<&str>,
        occupancy: f64,
        copy_cost: Option<f64>,
    ) -> PausePlan {
        let histogram = self.histogram(tenant, tool.unwrap_or(UNKNOWN_TOOL));
        let chosen = histogram.cheapest(self.break_even(occupancy, copy_cost.is_some()), copy_cost);
        PausePlan { hold: chosen.hold.min(self.settings.longest_hold), ..chosen }
    }

    fn histogram(&self, tenant: &TenantId, tool: &str) -> &PauseHistogram {
        let narrow = self.tenant_tools.get(&(tenant.clone(), tool.to_owned()));
        let candidates = [narrow, self.tools.get(tool)];
        let trusted = candidates.into_iter().flatten().find(|one| one.weight() >= TRUSTED_WEIGHT);
        trusted.unwrap_or(&self.all)
    }

    /// The pause that costs as much to bridge as recomputation: shorter the scarcer memory is.
    fn break_even(&self, occupancy: f64, can_offload: bool) -> f64 {
        let settings = &self.settings;
        let (idle, full) = if can_offload {
            (settings.break_even_idle, settings.break_even_full)
        } else {
            (settings.drop_break_even_idle, settings.drop_break_even_full)
        };
        let (idle, full) = (idle.as_secs_f64(), full.as_secs_f64());
        let scarcity = (occupancy - IDLE_OCCUPANCY) / (FULL_OCCUPANCY - IDLE_OCCUPANCY);
        idle * (full / idle).powf(scarcity.clamp(0.0, 1.0))
    }
}
