//! How long a program's cache is worth holding during a pause.
//!
//! Holding it costs memory x time. Dropping it costs recomputation if the program resumes. Both
//! grow with the number of tokens, so the best time-to-live depends only on the lengths of pauses,
//! on the probability that the program resumes, and on how scarce memory is (time-to-live over tool
//! pauses, Continuum 2025; keep or drop by expected waste, InferCept 2024).

mod histogram;

use std::collections::BTreeMap;

use dahlia_types::{Duration, TenantId};

use self::histogram::PauseHistogram;
use crate::RetentionSettings;

/// Most tools with a histogram of their own. Further tools use the overall one.
const MAX_TOOLS: usize = 512;
/// Most pairs of tenant and tool with a histogram of their own.
const MAX_TENANT_TOOLS: usize = 2048;
/// Least weight of observations with which a histogram is used. Below it a broader one is used.
const MIN_TRUSTED_WEIGHT: f64 = 30.0;
/// Fraction of the KV cache in use up to which memory counts as idle.
const IDLE_OCCUPANCY: f64 = 0.5;
/// Fraction of the KV cache in use from which memory counts as full.
const FULL_OCCUPANCY: f64 = 0.95;
/// Stands for the tool of a pause whose cause is not known.
const UNKNOWN_TOOL: &str = "";

/// How a pause ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PauseOutcome {
    /// The chain resumed after this time.
    Resumed(Duration),
    /// The program ended before the chain resumed.
    NeverResumed,
}

/// What to do with a chain's cache during a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PausePlan {
    /// Hold it in the engine for this long.
    pub hold: Duration,
    /// Whether to copy it to the host's memory afterwards rather than drop it.
    pub offload: bool,
}

/// Plans the retention of cache from histograms of the lengths of past pauses.
#[derive(Debug)]
pub(crate) struct RetentionPlanner {
    settings: RetentionSettings,
    overall: PauseHistogram,
    tools: BTreeMap<String, PauseHistogram>,
    tenant_tools: BTreeMap<(TenantId, String), PauseHistogram>,
}

impl RetentionPlanner {
    pub(crate) fn new(settings: RetentionSettings) -> Self {
        Self {
            overall: PauseHistogram::with_prior(),
            tools: BTreeMap::new(),
            tenant_tools: BTreeMap::new(),
            settings,
        }
    }

    /// Adds a pause that ended to the histograms.
    pub(crate) fn record_pause(
        &mut self,
        tenant: &TenantId,
        tool: Option<&str>,
        end: PauseOutcome,
    ) {
        let memory = self.settings.memory;
        let tool = tool.unwrap_or(UNKNOWN_TOOL);
        self.overall.add(end, memory);
        if self.tools.contains_key(tool) || self.tools.len() < MAX_TOOLS {
            self.tools.entry(tool.to_owned()).or_default().add(end, memory);
        }
        let key = (tenant.clone(), tool.to_owned());
        if self.tenant_tools.contains_key(&key) || self.tenant_tools.len() < MAX_TENANT_TOOLS {
            self.tenant_tools.entry(key).or_default().add(end, memory);
        }
    }

    /// Returns the plan with the least expected cost for a pause that begins now.
    ///
    /// `copy_cost` is the time of one transfer to or from the host's memory divided by the time of
    /// recomputation; none when the cache cannot be offloaded.
    pub(crate) fn plan(
        &self,
        tenant: &TenantId,
        tool: Option<&str>,
        occupancy: f64,
        copy_cost: Option<f64>,
    ) -> PausePlan {
        let histogram = self.histogram(tenant, tool.unwrap_or(UNKNOWN_TOOL));
        let chosen =
            histogram.cheapest_plan(self.break_even(occupancy, copy_cost.is_some()), copy_cost);
        PausePlan { hold: chosen.hold.min(self.settings.longest_hold), ..chosen }
    }

    /// The narrowest histogram with enough observations: of tenant and tool, of the tool, or
    /// overall.
    fn histogram(&self, tenant: &TenantId, tool: &str) -> &PauseHistogram {
        let narrow = self.tenant_tools.get(&(tenant.clone(), tool.to_owned()));
        let candidates = [narrow, self.tools.get(tool)];
        let trusted = candidates
            .into_iter()
            .flatten()
            .find(|histogram| histogram.weight() >= MIN_TRUSTED_WEIGHT);
        trusted.unwrap_or(&self.overall)
    }

    /// The hold, in seconds, that costs as much as one recomputation. It falls as memory fills up.
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
