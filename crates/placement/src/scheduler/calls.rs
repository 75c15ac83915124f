//! Handling of calls: queueing, dispatch, completion, failure and retry.

use dahlia_types::{AttemptId, CallId, Duration, ModelId, Timestamp, Usage};

use super::Scheduler;
use crate::call::{Call, OpenAttempt};
use crate::cost::{TokenDemand, recompute_seconds};
use crate::engine_table::EngineSlot;
use crate::policy::{KvSource, Placement, PlacementRequest};
use crate::priority::{PriorityInputs, priority};
use crate::programs::CacheLocation;
use crate::{Action, AttemptFailure, CopySource, FailedAttempt, ReadyCall, RefusalReason};

/// Weight of the newest call in the moving average of generated tokens.
const GENERATED_AVERAGE_WEIGHT: f64 = 0.02;

impl Scheduler {
    pub(super) fn on_call_ready(
        &mut self,
        ready: ReadyCall,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.is_known(ready.call) {
            return;
        }
        self.record_pause_end(&ready, now);
        let call = self.build_call(ready, now);
        if self.manages_calls() {
            self.enqueue(call, now, actions);
        } else {
            self.place_without_queue(call, now, actions);
        }
    }

    pub(super) fn on_first_token(&mut self, attempt: AttemptId) {
        if let Some(open) = self.open_attempts.get_mut(&attempt) {
            open.is_answering = true;
            self.engines.entry_mut(open.slot).record_first_token(attempt);
        }
    }

    pub(super) fn on_finished(
        &mut self,
        attempt: AttemptId,
        usage: Usage,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.remove_attempt(attempt, now) else { return };
        let OpenAttempt { call, slot, .. } = open;
        let entry = self.engines.entry_mut(slot);
        entry.breaker.record_success();
        let service = service_time(
            recompute_seconds(entry, uncached_tokens(usage)),
            usage,
            entry.capacity.step_base,
        );
        self.retry_budget.record_success();
        self.stats.finished += 1;
        self.update_mean_generated(&call.ready.model, usage);
        self.shared_prefixes.record(slot, &call, now);
        if let Some(program) = self.programs.get_mut(call.id().program) {
            program.add_service(call.id().chain, service);
            program.record_prefix(slot, &call, usage.generated.0);
        }
        self.release_superseded(call.id(), slot, actions);
        self.renew_hold(call.id().program, slot, now, actions);
        self.dispatch_waiting(&call.ready.model, now, actions);
    }

    pub(super) fn on_failed(
        &mut self,
        failed: FailedAttempt,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.remove_attempt(failed.attempt, now) else { return };
        let entry = self.engines.entry_mut(open.slot);
        match failed.failure {
            AttemptFailure::Recalled => entry.breaker.record_inconclusive_probe(now),
            AttemptFailure::Overloaded => {
                entry.breaker.record_success();
                entry.pause_dispatches(now);
            }
            AttemptFailure::Refused | AttemptFailure::EngineLost => {
                entry.breaker.record_failure(&self.settings.failure, now);
            }
        }
        let model = open.call.ready.model.clone();
        self.retry(open.call, failed, now, actions);
        self.dispatch_waiting(&model, now, actions);
    }

    pub(super) fn on_attempt_withdrawn(
        &mut self,
        attempt: AttemptId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.remove_attempt(attempt, now) else { return };
        self.engines.entry_mut(open.slot).breaker.record_inconclusive_probe(now);
        self.dispatch_waiting(&open.call.ready.model, now, actions);
    }

    pub(super) fn on_call_withdrawn(&mut self, call: CallId) {
        let waiting = self.models.values_mut().find_map(|model| model.lanes.remove(call));
        if let Some(call) = waiting {
            self.admission.record_dequeue(&call.ready.tenant);
        }
    }

    /// Dispatches the waiting calls of every model for which engines have capacity.
    pub(super) fn dispatch_all_waiting(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let models: Vec<ModelId> = self.models.keys().cloned().collect();
        for model in models {
            self.dispatch_waiting(&model, now, actions);
        }
    }

    /// Dispatches waiting calls of a model: those of programs under way, then first calls.
    pub(super) fn dispatch_waiting(
        &mut self,
        model: &ModelId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        for is_first in [false, true] {
            self.dispatch_lane(model, is_first, now, actions);
        }
    }

    /// Dispatches the calls of a lane in order until no engine takes the next one.
    fn dispatch_lane(
        &mut self,
        model: &ModelId,
        is_first: bool,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let Some(state) = self.models.get_mut(model) else { return };
            let queue = &mut state.lanes.lane_mut(is_first).queue;
            let Some(call) = queue.first() else { return };
            if self.admission.is_at_in_flight_limit(&call.ready.tenant) {
                queue.park_first();
                continue;
            }
            let call = call.clone();
            let Placement::Engine { slot, copy_from } = self.place(&call, now) else { return };
            let lane = self.model_mut(model).lanes.lane_mut(is_first);
            lane.queue.remove(call.id());
            lane.drain_rate.record_dequeue();
            self.admission.record_dequeue(&call.ready.tenant);
            self.dispatch(call, slot, copy_from, now, actions);
        }
    }

    /// Moves first calls that have exceeded their wait limit to the lane of programs under way. A
    /// queued call is never refused later.
    pub(super) fn promote_overdue(&mut self, now: Timestamp) {
        for state in self.models.values_mut() {
            let first_calls = &mut state.lanes.first.queue;
            let overdue = first_calls.matching(|call| now.since(call.ready_at) > call.wait_limit);
            for id in overdue {
                let Some(mut call) = first_calls.remove(id) else { continue };
                call.is_first = false;
                state.lanes.continuing.queue.push(call);
            }
        }
    }

    /// Whether the call is waiting or has an open attempt.
    fn is_known(&self, call: CallId) -> bool {
        let first = AttemptId { call, attempt: 0 };
        let last = AttemptId { call, attempt: u32::MAX };
        self.open_attempts.range(first..=last).next().is_some()
            || self.models.values().any(|model| model.lanes.contains(call))
    }

    fn build_call(&mut self, ready: ReadyCall, now: Timestamp) -> Call {
        let program = self.programs.get_or_insert(ready.call, &ready.tenant);
        program.raise_service(ready.call.chain, ready.attained_service);
        let attained_service = program.attained_service();
        let is_first = attained_service == Duration::ZERO;
        let mut call = Call::new(ready, is_first, self.admission.wait_limit(is_first), now);
        if self.manages_calls() {
            let uncached_seconds = self.uncached_seconds(&call, now);
            let weight = call.ready.weight;
            let inputs =
                PriorityInputs { ready_at: now, attained_service, uncached_seconds, weight };
            call.priority = priority(&self.settings.priority, inputs);
        }
        call
    }

    /// Seconds of prefill that the call needs on the engine with most of its prompt cached.
    fn uncached_seconds(&self, call: &Call, now: Timestamp) -> f64 {
        let cached = self.cached_for(call, now);
        let best = cached.iter().max_by_key(|cached| cached.tokens);
        let missing = call.prompt_tokens() - best.map_or(0, |best| best.tokens);
        let serving = self.engines.serving(&call.ready.model).first().copied();
        let slot = best.map(|best| best.slot).or(serving);
        slot.map_or(0.0, |slot| recompute_seconds(self.engines.entry(slot), missing))
    }

    /// The engines that are expected to have part of the call's prompt cached, by its program or
    /// others.
    fn cached_for(&self, call: &Call, now: Timestamp) -> Vec<CacheLocation> {
        let program = self.programs.get(call.id().program);
        let mut cached = program.map(|program| program.cached_for(call)).unwrap_or_default();
        merge_locations(&mut cached, self.shared_prefixes.cached_for(call, now));
        cached
    }

    /// Queues the call and dispatches what can be dispatched. If the call remains queued and would
    /// have to wait too long, refuses it at once.
    fn enqueue(&mut self, call: Call, now: Timestamp, actions: &mut Vec<Action>) {
        let (id, wait_limit, is_first) = (call.id(), call.wait_limit, call.is_first);
        let (model, tenant) = (call.ready.model.clone(), call.ready.tenant.clone());
        self.admission.record_enqueue(&tenant);
        self.model_mut(&model).lanes.lane_mut(is_first).queue.push(call);
        self.dispatch_waiting(&model, now, actions);
        if !self.model_mut(&model).lanes.contains(id) {
            return;
        }
        if self.engines.serving(&model).is_empty() {
            self.refuse_waiting(id, RefusalReason::NoEngine, actions);
            return;
        }
        let expected = self.expected_wait(&model, is_first);
        if let Err(reason) = self.admission.check(&tenant, expected, wait_limit) {
            self.refuse_waiting(id, reason, actions);
        }
    }

    /// Dispatches the call, or refuses it if no engine is usable. Used by the baseline policies.
    fn place_without_queue(&mut self, call: Call, now: Timestamp, actions: &mut Vec<Action>) {
        match self.place(&call, now) {
            Placement::Engine { slot, copy_from } => {
                self.dispatch(call, slot, copy_from, now, actions);
            }
            Placement::Wait | Placement::NoEngine => {
                self.refuse(&call, RefusalReason::NoEngine, actions);
            }
        }
    }

    /// Asks the policy for an engine.
    fn place(&mut self, call: &Call, now: Timestamp) -> Placement {
        let program = self.programs.get(call.id().program);
        let cached = self.cached_for(call, now);
        let last_engine = program.and_then(|program| {
            program.chain_engine(call.id().chain).or_else(|| program.last_engine())
        });
        let mean_generated =
            self.models.get(&call.ready.model).and_then(|model| model.mean_generated);
        let default_generated = self.settings.cost.expected_generated as f64;
        let max_generated = call.ready.max_generated.0 as f64;
        let demand = TokenDemand {
            prompt: call.prompt_tokens(),
            generated: mean_generated.unwrap_or(default_generated).min(max_generated),
        };
        let request = PlacementRequest {
            model: &call.ready.model,
            demand,
            cached: &cached,
            last_engine,
            offloaded: program.and_then(|program| program.offloaded(call.id().chain)),
            is_first: call.is_first,
        };
        self.stats.decisions += 1;
        let examined = &mut self.stats.engines_examined;
        self.policy.place(&request, &self.engines, &mut self.random, now, examined)
    }

    fn dispatch(
        &mut self,
        call: Call,
        slot: EngineSlot,
        copy_from: Option<KvSource>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let cached = self
            .programs
            .get(call.id().program)
            .map(|program| program.cached_for(&call))
            .unwrap_or_default();
        let known = cached.iter().find(|cached| cached.slot == slot);
        let prefill = call.prompt_tokens() - known.map_or(0, |cached| cached.tokens);
        let entry = self.engines.entry_mut(slot);
        entry.record_dispatch(call.next_attempt(), prefill, now);
        let (engine, incarnation) = (entry.id.clone(), entry.incarnation);
        let copy_from = copy_from.map(|source| CopySource {
            engine: self.engines.entry(source.slot).id.clone(),
            tier: source.tier,
        });
        self.stats.dispatched += 1;
        self.stats.fetches += u64::from(copy_from.is_some());
        self.admission.record_dispatch(&call.ready.tenant);
        let program = self.programs.get_or_insert(call.id(), &call.ready.tenant);
        program.record_dispatch(slot);
        program.remove_offloaded(call.id().chain);
        let (attempt, priority) = (call.next_attempt(), call.priority);
        actions.push(Action::Dispatch { attempt, engine, incarnation, priority, copy_from });
        self.open_attempts.insert(attempt, OpenAttempt { call, slot, is_answering: false });
    }

    /// Removes an open attempt and updates all counts of it. Its end makes parked calls of the
    /// tenant ready.
    fn remove_attempt(&mut self, attempt: AttemptId, now: Timestamp) -> Option<OpenAttempt> {
        let open = self.open_attempts.remove(&attempt)?;
        self.engines.entry_mut(open.slot).record_end(attempt, now);
        let tenant = &open.call.ready.tenant;
        self.admission.record_end(tenant);
        for model in self.models.values_mut() {
            model.lanes.unpark(tenant);
        }
        if let Some(program) = self.programs.get_mut(attempt.call.program) {
            program.record_end(open.slot);
        }
        Some(open)
    }

    /// Queues or places a failed call again, or refuses it if it may not be retried.
    fn retry(
        &mut self,
        mut call: Call,
        failed: FailedAttempt,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.programs.get(call.id().program).is_none() {
            return;
        }
        if !failed.retryable {
            self.refuse(&call, RefusalReason::NotRetryable, actions);
            return;
        }
        // A recalled attempt did no work and is not a failure, so it takes nothing from the budget.
        let is_recall = failed.failure == AttemptFailure::Recalled;
        let attempts_exhausted = call.ready.attempt >= self.settings.failure.most_attempts;
        if !is_recall && (attempts_exhausted || !self.retry_budget.try_take()) {
            self.refuse(&call, RefusalReason::RetriesExhausted, actions);
            return;
        }
        self.stats.retried += 1;
        call.ready.attempt = failed.attempt.attempt + 1;
        if self.manages_calls() {
            self.admission.record_enqueue(&call.ready.tenant);
            let model = call.ready.model.clone();
            self.model_mut(&model).lanes.lane_mut(call.is_first).queue.push(call);
        } else {
            self.place_without_queue(call, now, actions);
        }
    }

    fn refuse_waiting(&mut self, id: CallId, reason: RefusalReason, actions: &mut Vec<Action>) {
        let waiting = self.models.values_mut().find_map(|model| model.lanes.remove(id));
        let Some(call) = waiting else { return };
        self.admission.record_dequeue(&call.ready.tenant);
        self.refuse(&call, reason, actions);
    }

    fn refuse(&mut self, call: &Call, reason: RefusalReason, actions: &mut Vec<Action>) {
        let expected = self.expected_wait(&call.ready.model, call.is_first);
        let retry_after = self.admission.retry_after(expected, &mut self.random);
        self.stats.refused += 1;
        actions.push(Action::Refuse { call: call.id(), retry_after, reason });
    }

    fn expected_wait(&mut self, model: &ModelId, is_first: bool) -> Duration {
        let lane = self.model_mut(model).lanes.lane_mut(is_first);
        lane.drain_rate.expected_wait(lane.queue.len())
    }

    fn update_mean_generated(&mut self, model: &ModelId, usage: Usage) {
        let observed = usage.generated.0 as f64;
        let state = self.model_mut(model);
        let average = state.mean_generated.unwrap_or(observed);
        state.mean_generated = Some(average + GENERATED_AVERAGE_WEIGHT * (observed - average));
    }
}

fn uncached_tokens(usage: Usage) -> u64 {
    usage.prompt.saturating_sub(usage.cached).0
}

/// Engine time that a call used: its uncached prefill and its decode steps.
fn service_time(prefill_seconds: f64, usage: Usage, step: Duration) -> Duration {
    let decode = usage.generated.0 as f64 * step.as_secs_f64();
    Duration::from_secs_f64(prefill_seconds + decode)
}

/// Adds the engines with a shared prefix, keeping the larger token count of each.
fn merge_locations(cached: &mut Vec<CacheLocation>, shared: Vec<CacheLocation>) {
    for candidate in shared {
        match cached.iter_mut().find(|known| known.slot == candidate.slot) {
            Some(known) => known.tokens = known.tokens.max(candidate.tokens),
            None => cached.push(candidate),
        }
    }
}
