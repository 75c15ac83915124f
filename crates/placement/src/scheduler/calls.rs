//! A call's way: ready, perhaps waiting, dispatched, ended, perhaps tried again.

use dahlia_types::{AttemptId, CallId, Duration, ModelId, Timestamp, Usage};

use super::Scheduler;
use crate::call::{Call, OpenAttempt};
use crate::cost::{Demand, recompute_time};
use crate::policy::{Placement, Request, Source};
use crate::priority::{Claim, priority};
use crate::programs::CachedOn;
use crate::view::EngineSlot;
use crate::{Action, AttemptFailure, CopySource, FailedAttempt, ReadyCall, RefusalReason};

/// Share of the newest observation in the average of generated tokens.
const GENERATED_SHARE: f64 = 0.02;

impl Scheduler {
    pub(super) fn call_ready(
        &mut self,
        ready: ReadyCall,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.is_known(ready.call) {
            return;
        }
        self.learn_return(&ready, now);
        let call = self.new_call(ready, now);
        if self.is_managed() {
            self.enqueue(call, now, actions);
        } else {
            self.place_directly(call, now, actions);
        }
    }

    pub(super) fn first_token(&mut self, attempt: AttemptId) {
        if let Some(open) = self.open.get_mut(&attempt) {
            open.answering = true;
            self.engines.entry_mut(open.slot).answers(attempt);
        }
    }

    pub(super) fn finished(
        &mut self,
        attempt: AttemptId,
        usage: Usage,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.end_attempt(attempt, now) else { return };
        let OpenAttempt { call, slot, .. } = open;
        let entry = self.engines.entry_mut(slot);
        entry.circuit.succeeded();
        let service =
            service_of(recompute_time(entry, uncached(usage)), usage, entry.capacity.step_base);
        self.retries.succeeded();
        self.stats.finished += 1;
        self.learn_generated(&call.ready.model, usage);
        self.shared.computed(slot, &call, now);
        if let Some(program) = self.programs.get_mut(call.id().program) {
            program.add_service(call.id().chain, service);
            program.computed(slot, &call, usage.generated.0);
        }
        self.release_superseded(call.id(), slot, actions);
        self.renew_hold(call.id().program, slot, now, actions);
        self.drain(&call.ready.model, now, actions);
    }

    pub(super) fn failed(
        &mut self,
        failed: FailedAttempt,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.end_attempt(failed.attempt, now) else { return };
        let entry = self.engines.entry_mut(open.slot);
        match failed.failure {
            AttemptFailure::Recalled => entry.circuit.undecided(now),
            AttemptFailure::Overloaded => {
                entry.circuit.succeeded();
                entry.overloaded(now);
            }
            AttemptFailure::Refused | AttemptFailure::EngineLost => {
                entry.circuit.failed(&self.settings.failure, now);
            }
        }
        let model = open.call.ready.model.clone();
        self.try_again(open.call, failed, now, actions);
        self.drain(&model, now, actions);
    }

    pub(super) fn attempt_withdrawn(
        &mut self,
        attempt: AttemptId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.end_attempt(attempt, now) else { return };
        self.engines.entry_mut(open.slot).circuit.undecided(now);
        self.drain(&open.call.ready.model, now, actions);
    }

    pub(super) fn call_withdrawn(&mut self, call: CallId) {
        let waiting = self.models.values_mut().find_map(|model| model.lanes.remove(call));
        if let Some(call) = waiting {
            self.admission.ended_waiting(&call.ready.tenant);
        }
    }

    /// Dispatches waiting calls of every model, as far as there are engines for them.
    pub(super) fn drain_all(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let models: Vec<ModelId> = self.models.keys().cloned().collect();
        for model in models {
            self.drain(&model, now, actions);
        }
    }

    /// Dispatches waiting calls of a model: programs under way first, then first calls.
    pub(super) fn drain(&mut self, model: &ModelId, now: Timestamp, actions: &mut Vec<Action>) {
        for first in [false, true] {
            self.drain_lane(model, first, now, actions);
        }
    }

    /// Dispatches the calls of a lane in order, until one has to wait.
    fn drain_lane(
        &mut self,
        model: &ModelId,
        first: bool,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let Some(state) = self.models.get_mut(model) else { return };
            let queue = &mut state.lanes.of(first).queue;
            let Some(call) = queue.first() else { return };
            if self.admission.at_limit(&call.ready.tenant) {
                queue.park_first();
                continue;
            }
            let call = call.clone();
            let Placement::Engine { slot, copy_from } = self.place(&call, now) else { return };
            let lane = self.model(model).lanes.of(first);
            lane.queue.remove(call.id());
            lane.drain.left();
            self.admission.ended_waiting(&call.ready.tenant);
            self.dispatch(call, slot, copy_from, now, actions);
        }
    }

    /// Promotes first calls that have waited longer than was expected: they go on as if their
    /// program were under way. Whoever was let into the queue is never refused later on.
    pub(super) fn promote_overdue(&mut self, now: Timestamp) {
        for state in self.models.values_mut() {
            let first = &mut state.lanes.first.queue;
            let overdue = first.matching(|call| now.since(call.since) > call.patience);
            for id in overdue {
                let Some(mut call) = first.remove(id) else { continue };
                call.first = false;
                state.lanes.continuing.queue.push(call);
            }
        }
    }

    fn is_known(&self, call: CallId) -> bool {
        let first = AttemptId { call, attempt: 0 };
        let last = AttemptId { call, attempt: u32::MAX };
        self.open.range(first..=last).next().is_some()
            || self.models.values().any(|model| model.lanes.contains(call))
    }

    fn new_call(&mut self, ready: ReadyCall, now: Timestamp) -> Call {
        let program = self.programs.of_call(ready.call, &ready.tenant);
        program.raise_service(ready.call.chain, ready.attained_service);
        let attained = program.attained();
        let first = attained == Duration::ZERO;
        let mut call = Call::new(ready, first, self.admission.patience(first), now);
        if self.is_managed() {
            let uncached = self.uncached_time(&call, now);
            let weight = call.ready.weight;
            let claim = Claim { ready: now, attained, uncached, weight };
            call.priority = priority(&self.settings.priority, claim);
        }
        call
    }

    /// Seconds of prefill that the call needs on the engine with most of its prompt.
    fn uncached_time(&self, call: &Call, now: Timestamp) -> f64 {
        let cached = self.cached_for(call, now);
        let best = cached.iter().max_by_key(|cached| cached.tokens);
        let missing = call.prompt_tokens() - best.map_or(0, |best| best.tokens);
        let serving = self.engines.serving(&call.ready.model).first().copied();
        let slot = best.map(|best| best.slot).or(serving);
        slot.map_or(0.0, |slot| recompute_time(self.engines.entry(slot), missing))
    }

    fn cached_for(&self, call: &Call, now: Timestamp) -> Vec<CachedOn> {
        let program = self.programs.get(call.id().program);
        let mut cached = program.map(|program| program.cached_for(call)).unwrap_or_default();
        add_missing(&mut cached, self.shared.cached_for(call, now));
        cached
    }

    /// Puts the call in its place among those waiting, dispatches what can be, and refuses the
    /// call at once when it would have to wait too long.
    fn enqueue(&mut self, call: Call, now: Timestamp, actions: &mut Vec<Action>) {
        let (id, patience, first) = (call.id(), call.patience, call.first);
        let (model, tenant) = (call.ready.model.clone(), call.ready.tenant.clone());
        self.admission.began_waiting(&tenant);
        self.model(&model).lanes.of(first).queue.push(call);
        self.drain(&model, now, actions);
        if !self.model(&model).lanes.contains(id) {
            return;
        }
        if self.engines.serving(&model).is_empty() {
            self.refuse_waiting(id, RefusalReason::NoEngine, actions);
            return;
        }
        let expected = self.expected_wait(&model, first);
        if let Err(reason) = self.admission.check(&tenant, expected, patience) {
            self.refuse_waiting(id, reason, actions);
        }
    }

    fn place_directly(&mut self, call: Call, now: Timestamp, actions: &mut Vec<Action>) {
        match self.place(&call, now) {
            Placement::Engine { slot, copy_from } => {
                self.dispatch(call, slot, copy_from, now, actions);
            }
            Placement::Wait | Placement::NoEngine => {
                self.refuse(&call, RefusalReason::NoEngine, actions);
            }
        }
    }

    fn place(&mut self, call: &Call, now: Timestamp) -> Placement {
        let program = self.programs.get(call.id().program);
        let cached = self.cached_for(call, now);
        let last_engine = program
            .and_then(|program| program.home(call.id().chain).or_else(|| program.last_engine()));
        let generated = self.models.get(&call.ready.model).and_then(|model| model.generated);
        let expected = self.settings.cost.expected_generated as f64;
        let most = call.ready.max_generated.0 as f64;
        let demand = Demand {
            prompt: call.prompt_tokens(),
            generated: generated.unwrap_or(expected).min(most),
        };
        let request = Request {
            model: &call.ready.model,
            demand,
            cached: &cached,
            last_engine,
            offloaded: program.and_then(|program| program.offloaded(call.id().chain)),
            first: call.first,
        };
        self.stats.decisions += 1;
        let examined = &mut self.stats.engines_examined;
        self.policy.place(&request, &self.engines, &mut self.random, now, examined)
    }

    fn dispatch(
        &mut self,
        call: Call,
        slot: EngineSlot,
        copy_from: Option<Source>,
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
        entry.dispatched(call.attempt(), prefill, now);
        let (engine, incarnation) = (entry.id.clone(), entry.incarnation);
        let copy_from = copy_from.map(|source| CopySource {
            engine: self.engines.entry(source.slot).id.clone(),
            tier: source.tier,
        });
        self.stats.dispatched += 1;
        self.stats.fetches += u64::from(copy_from.is_some());
        self.admission.dispatched(&call.ready.tenant);
        let program = self.programs.of_call(call.id(), &call.ready.tenant);
        program.dispatched(slot);
        program.forget_offloaded(call.id().chain);
        let (attempt, priority) = (call.attempt(), call.priority);
        actions.push(Action::Dispatch { attempt, engine, incarnation, priority, copy_from });
        self.open.insert(attempt, OpenAttempt { call, slot, answering: false });
    }

    /// Takes an attempt out of the books.
    fn end_attempt(&mut self, attempt: AttemptId, now: Timestamp) -> Option<OpenAttempt> {
        let open = self.open.remove(&attempt)?;
        self.engines.entry_mut(open.slot).ended(attempt, now);
        let tenant = &open.call.ready.tenant;
        self.admission.ended(tenant);
        for model in self.models.values_mut() {
            model.lanes.unpark(tenant);
        }
        if let Some(program) = self.programs.get_mut(attempt.call.program) {
            program.ended(open.slot);
        }
        Some(open)
    }

    fn try_again(
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
        // A recalled attempt did no work and is no failure: it takes nothing from the budget.
        let free = failed.failure == AttemptFailure::Recalled;
        let spent = call.ready.attempt >= self.settings.failure.most_attempts;
        if !free && (spent || !self.retries.take()) {
            self.refuse(&call, RefusalReason::RetriesExhausted, actions);
            return;
        }
        self.stats.retried += 1;
        call.ready.attempt = failed.attempt.attempt + 1;
        if self.is_managed() {
            self.admission.began_waiting(&call.ready.tenant);
            let model = call.ready.model.clone();
            self.model(&model).lanes.of(call.first).queue.push(call);
        } else {
            self.place_directly(call, now, actions);
        }
    }

    fn refuse_waiting(&mut self, id: CallId, reason: RefusalReason, actions: &mut Vec<Action>) {
        let waiting = self.models.values_mut().find_map(|model| model.lanes.remove(id));
        let Some(call) = waiting else { return };
        self.admission.ended_waiting(&call.ready.tenant);
        self.refuse(&call, reason, actions);
    }

    fn refuse(&mut self, call: &Call, reason: RefusalReason, actions: &mut Vec<Action>) {
        let expected = self.expected_wait(&call.ready.model, call.first);
        let retry_after = self.admission.retry_after(expected, &mut self.random);
        self.stats.refused += 1;
        actions.push(Action::Refuse { call: call.id(), retry_after, reason });
    }

    fn expected_wait(&mut self, model: &ModelId, first: bool) -> Duration {
        let lane = self.model(model).lanes.of(first);
        lane.drain.time_for(lane.queue.len())
    }

    fn learn_generated(&mut self, model: &ModelId, usage: Usage) {
        let observed = usage.generated.0 as f64;
        let state = self.model(model);
        let average = state.generated.unwrap_or(observed);
        state.generated = Some(average + GENERATED_SHARE * (observed - average));
    }
}

fn uncached(usage: Usage) -> u64 {
    usage.prompt.saturating_sub(usage.cached).0
}

/// Engine time that a call took: its uncached prefill and its decode steps.
fn service_of(prefill_seconds: f64, usage: Usage, step: Duration) -> Duration {
    let decode = usage.generated.0 as f64 * step.as_secs_f64();
    Duration::from_secs_f64(prefill_seconds + decode)
}

fn add_missing(cached: &mut Vec<CachedOn>, shared: Vec<CachedOn>) {
    for candidate in shared {
        match cached.iter_mut().find(|known| known.slot == candidate.slot) {
            Some(known) => known.tokens = known.tokens.max(candidate.tokens),
            None => cached.push(candidate),
        }
    }
}
