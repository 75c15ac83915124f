//! The scheduler: takes events and returns actions.

mod cache;
mod calls;
mod engines;

use std::collections::BTreeMap;

use dahlia_types::{AttemptId, ChainId, ModelId, ProgramId, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::admission::{Admission, OpenCallLimits};
use crate::call::OpenAttempt;
use crate::engine_table::EngineTable;
use crate::policy::{self, Policy};
use crate::programs::Programs;
use crate::queue::Lanes;
use crate::retention::RetentionPlanner;
use crate::retry::RetryBudget;
use crate::shared_prefix::SharedPrefixes;
use crate::{Action, Event, PlacementSettings, PolicyKind, SchedulerStats};

/// State of a model.
#[derive(Debug, Default)]
struct ModelState {
    lanes: Lanes,
    /// Moving average of the tokens that a call generates; none before the first call ends.
    mean_generated: Option<f64>,
}

/// Places the calls of the programs that its daemon owns.
///
/// It does no I/O and reads no clock. The same events at the same times with the same seed result
/// in the same actions.
#[derive(Debug)]
pub struct Scheduler {
    settings: PlacementSettings,
    kind: PolicyKind,
    policy: Box<dyn Policy>,
    random: ChaCha8Rng,
    engines: EngineTable,
    programs: Programs,
    shared_prefixes: SharedPrefixes,
    models: BTreeMap<ModelId, ModelState>,
    open_attempts: BTreeMap<AttemptId, OpenAttempt>,
    admission: Admission,
    retry_budget: RetryBudget,
    retention: RetentionPlanner,
    /// Planned offloads, keyed by the end of their hold, with the start of their pause.
    pending_offloads: BTreeMap<(Timestamp, ProgramId, ChainId), Timestamp>,
    stats: SchedulerStats,
}

impl Scheduler {
    /// Creates a scheduler that knows no engines or programs. Daemons should have different seeds,
    /// so that they don't all choose the same engines.
    pub fn new(settings: PlacementSettings, kind: PolicyKind, seed: u64) -> Self {
        Self {
            kind,
            policy: policy::build_policy(kind, &settings.cost),
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: EngineTable::default(),
            programs: Programs::default(),
            shared_prefixes: SharedPrefixes::default(),
            models: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            admission: Admission::new(settings.admission.clone()),
            retry_budget: RetryBudget::new(&settings.failure),
            retention: RetentionPlanner::new(settings.retention.clone()),
            pending_offloads: BTreeMap::new(),
            stats: SchedulerStats::default(),
            settings,
        }
    }

    /// The policy that places calls.
    pub fn policy(&self) -> PolicyKind {
        self.kind
    }

    /// Handles an event at `now` and returns the resulting actions. `now` must never decrease.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::EngineJoined(joined) => self.on_engine_joined(joined, now, &mut actions),
            Event::EngineReport(report) => self.on_engine_report(&report, now, &mut actions),
            Event::EngineLeaving(engine) => self.on_engine_leaving(&engine, &mut actions),
            Event::EngineGone(engine) => self.on_engine_gone(&engine),
            Event::CallReady(ready) => self.on_call_ready(ready, now, &mut actions),
            Event::FirstToken(attempt) => self.on_first_token(attempt),
            Event::Finished { attempt, usage } => {
                self.on_finished(attempt, usage, now, &mut actions);
            }
            Event::Failed(failed) => self.on_failed(failed, now, &mut actions),
            Event::AttemptWithdrawn(attempt) => {
                self.on_attempt_withdrawn(attempt, now, &mut actions)
            }
            Event::CallWithdrawn(call) => self.on_call_withdrawn(call),
            Event::PauseBegan(pause) => self.on_pause_began(pause, now, &mut actions),
            Event::Offloaded { program, chain, engine, tokens } => {
                self.on_offloaded((program, chain), &engine, tokens, now, &mut actions);
            }
            Event::ChainEnded { program, chain } => {
                self.on_chain_ended(program, chain, now, &mut actions);
            }
            Event::ProgramClosed(program) => self.on_program_closed(program, now, &mut actions),
            Event::ProgramWithdrawn(program) => {
                self.on_program_withdrawn(program, now, &mut actions)
            }
            Event::Cache(notice) => self.on_cache_notice(&notice, now, &mut actions),
            Event::Inventory(inventory) => self.on_inventory(&inventory, now, &mut actions),
            Event::Released { program, engine } => self.on_released(program, &engine),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    /// Replaces the limits of tenants' open calls. Calls that are already open are not affected.
    pub fn set_open_call_limits(&mut self, limits: OpenCallLimits) {
        self.admission.set_open_call_limits(limits);
    }

    /// Counters since the start and current sizes.
    pub fn stats(&self) -> SchedulerStats {
        let waiting: usize = self.models.values().map(|model| model.lanes.len()).sum();
        SchedulerStats {
            waiting: waiting as u64,
            in_flight: self.open_attempts.len() as u64,
            programs: self.programs.len() as u64,
            engines: self.engines.len() as u64,
            engines_ejected: self.engines.ejected_count() as u64,
            releases_unconfirmed: self.programs.unconfirmed_release_count() as u64,
            ..self.stats
        }
    }

    /// Whether the scheduler manages priorities, bounded waits and cache retention. The baseline
    /// policies leave all this to the engines.
    fn manages_calls(&self) -> bool {
        self.kind == PolicyKind::ProgramAware
    }

    fn model_mut(&mut self, model: &ModelId) -> &mut ModelState {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), ModelState::default());
        }
        self.models.get_mut(model).expect("inserted above")
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for model in self.models.values_mut() {
            model.lanes.update_drain_rates(now);
        }
        self.promote_overdue(now);
        self.dispatch_all_waiting(now, actions);
        self.start_due_offloads(now, actions);
        self.resend_releases(now, actions);
    }
}
