//! Handling of programs' cache during pauses, after moves and at the end of programs.

use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, ProgramId, TenantId, Timestamp, Tokens,
};

use super::Scheduler;
use crate::cost::{recompute_seconds, transfer_seconds};
use crate::engine_table::EngineSlot;
use crate::programs::{CacheLocation, PausedChain};
use crate::retention::{PauseOutcome, PausePlan};
use crate::{Action, CacheTier, ChainPause, ReadyCall, ReleaseReason};

/// Time by which a hold is extended so that the offload after it can complete.
const OFFLOAD_GRACE: Duration = Duration::from_secs(10);

impl Scheduler {
    pub(super) fn on_pause_began(
        &mut self,
        pause: ChainPause,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let ChainPause { program: id, chain, tool, context } = pause;
        let Some(program) = self.programs.get(id) else { return };
        let engine_slot = program.chain_engine(chain);
        let tenant = program.tenant.clone();
        let plan = self.plan_pause(&tenant, tool.as_deref(), context, engine_slot);
        let grace = if plan.offload { OFFLOAD_GRACE } else { Duration::ZERO };
        let keep_until = now + plan.hold + grace;
        let paused = PausedChain { tool, paused_at: now, engine: engine_slot, keep_until };
        if let Some(program) = self.programs.get_mut(id) {
            program.pause(chain, paused);
        }
        if !self.manages_calls() {
            return;
        }
        self.count_plan(plan);
        if plan.offload {
            self.pending_offloads.insert((now + plan.hold, id, chain), now);
        }
        if let Some(slot) = engine_slot {
            self.hold_or_release(id, slot, now, actions);
        }
    }

    /// Starts the offloads whose hold has ended.
    pub(super) fn start_due_offloads(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((key, paused_at)) =
            self.pending_offloads.first_key_value().map(|(k, v)| (*k, *v))
        {
            let (due, program, chain) = key;
            if due > now {
                return;
            }
            self.pending_offloads.pop_first();
            let state = self.programs.get(program);
            let paused = state.and_then(|state| state.find_pause(chain, paused_at));
            if let Some(slot) = paused.and_then(|paused| paused.engine) {
                let engine = self.engines.entry(slot).id.clone();
                actions.push(Action::Offload { program, chain, engine });
            }
        }
    }

    /// Records a copy in the host's memory. If the chain is still paused, the engine's own cache is
    /// no longer needed for it.
    pub(super) fn on_offloaded(
        &mut self,
        copy: (ProgramId, ChainId),
        engine: &EngineId,
        tokens: Tokens,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let (id, chain) = copy;
        let Some(slot) = self.engines.slot(engine) else { return };
        let Some(program) = self.programs.get_mut(id) else { return };
        let Some(paused) = program.paused_mut(chain).filter(|paused| paused.engine == Some(slot))
        else {
            return;
        };
        paused.keep_until = now;
        if tokens > Tokens::ZERO {
            self.stats.pauses_offloaded += 1;
            program.set_offloaded(chain, CacheLocation { slot, tokens: tokens.0 });
        }
        self.hold_or_release(id, slot, now, actions);
    }

    pub(super) fn on_chain_ended(
        &mut self,
        id: ProgramId,
        chain: ChainId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.get_mut(id) else { return };
        let engine_slot = program.chain_engine(chain);
        program.end_chain(chain);
        if let Some(slot) = engine_slot.filter(|_| self.manages_calls()) {
            self.hold_or_release(id, slot, now, actions);
        }
    }

    /// Records the length of the pause that the call ends, if its chain was paused.
    pub(super) fn record_pause_end(&mut self, ready: &ReadyCall, now: Timestamp) {
        let Some(program) = self.programs.get_mut(ready.call.program) else { return };
        if let Some(paused) = program.resume(ready.call.chain) {
            let end = PauseOutcome::Resumed(now.since(paused.paused_at));
            self.retention.record_pause(&ready.tenant, paused.tool.as_deref(), end);
        }
    }

    pub(super) fn on_program_closed(
        &mut self,
        id: ProgramId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.remove(id) else { return };
        for paused in program.paused() {
            self.retention.record_pause(
                &program.tenant,
                paused.tool.as_deref(),
                PauseOutcome::NeverResumed,
            );
        }
        self.remove_waiting_calls(id);
        for slot in program.engines() {
            self.request_release(id, slot, now, actions);
        }
    }

    pub(super) fn on_program_withdrawn(
        &mut self,
        id: ProgramId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.programs.remove(id);
        self.remove_waiting_calls(id);
        let call = CallId { program: id, chain: ChainId(0), number: 0 };
        let open =
            self.open_attempts.range(AttemptId { call, attempt: 0 }..).map(|(attempt, _)| *attempt);
        let open: Vec<AttemptId> = open.take_while(|it| it.call.program == id).collect();
        // Otherwise these attempts would count as in flight forever. If the program came back to
        // this scheduler, its calls would be taken for duplicates of calls under way.
        for attempt in open {
            self.on_attempt_withdrawn(attempt, now, actions);
        }
    }

    pub(super) fn on_released(&mut self, program: ProgramId, engine: &EngineId) {
        if let Some(slot) = self.engines.slot(engine) {
            self.programs.confirm_release(program, slot);
        }
    }

    /// Sends unconfirmed releases again after the retry delay.
    pub(super) fn resend_releases(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let since = now - self.settings.retention.release_retry;
        for (program, slot) in self.programs.releases_requested_until(since) {
            self.request_release(program, slot, now, actions);
        }
    }

    pub(super) fn request_release(
        &mut self,
        program: ProgramId,
        slot: EngineSlot,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.programs.record_release_request(program, slot, now);
        let engine = self.engines.entry(slot).id.clone();
        let reason = ReleaseReason::ProgramEnded;
        actions.push(Action::Release { program, engine, reason });
    }

    /// Releases superseded cache on other engines after a call finished on `current`.
    pub(super) fn release_superseded(
        &mut self,
        call: CallId,
        current: EngineSlot,
        actions: &mut Vec<Action>,
    ) {
        if !self.manages_calls() {
            return;
        }
        let Some(program) = self.programs.get_mut(call.program) else { return };
        for slot in program.superseded_engines(call.chain, current) {
            program.clear_cache(slot);
            let engine = self.engines.entry(slot).id.clone();
            let reason = ReleaseReason::Moved;
            actions.push(Action::Release { program: call.program, engine, reason });
        }
    }

    /// Renews the hold for the program's paused chains, since an attempt on the engine ends the
    /// hold.
    pub(super) fn renew_hold(
        &mut self,
        id: ProgramId,
        slot: EngineSlot,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.get(id) else { return };
        let wanted = program.keep_until(slot).filter(|until| *until > now);
        if let Some(until) =
            wanted.filter(|_| self.manages_calls() && !program.has_open_attempts_on(slot))
        {
            let engine = self.engines.entry(slot).id.clone();
            actions.push(Action::Hold { program: id, engine, until });
        }
    }

    /// Holds the program's cache for as long as it is worth keeping for a paused chain, or releases
    /// it.
    fn hold_or_release(
        &mut self,
        id: ProgramId,
        slot: EngineSlot,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.get_mut(id) else { return };
        // While attempts of other chains run there, the decision is made when they end.
        if program.has_open_attempts_on(slot) {
            return;
        }
        let engine = self.engines.entry(slot).id.clone();
        match program.keep_until(slot).filter(|until| *until > now) {
            Some(until) => actions.push(Action::Hold { program: id, engine, until }),
            None => {
                program.clear_cache(slot);
                let reason = ReleaseReason::PauseTooCostly;
                actions.push(Action::Release { program: id, engine, reason });
            }
        }
    }

    fn plan_pause(
        &self,
        tenant: &TenantId,
        tool: Option<&str>,
        context: Tokens,
        engine_slot: Option<EngineSlot>,
    ) -> PausePlan {
        let Some(slot) = engine_slot else {
            return PausePlan { hold: Duration::ZERO, offload: false };
        };
        let entry = self.engines.entry(slot);
        let worth_copying = context.0 >= self.settings.cost.least_copied;
        let has_host_memory = entry.capacity.host_tokens > Tokens::ZERO && worth_copying;
        let recompute = recompute_seconds(entry, context.0).max(f64::EPSILON);
        let copy = transfer_seconds(entry, context.0, CacheTier::Host).filter(|_| has_host_memory);
        let copy_cost = copy.map(|copy| copy / recompute);
        self.retention.plan(tenant, tool, entry.occupancy(), copy_cost)
    }

    fn count_plan(&mut self, plan: PausePlan) {
        if plan.hold == Duration::ZERO && !plan.offload {
            self.stats.pauses_dropped += 1;
        } else {
            self.stats.pauses_held += 1;
        }
    }

    fn remove_waiting_calls(&mut self, id: ProgramId) {
        let waiting: Vec<CallId> = self
            .models
            .values()
            .flat_map(|model| model.lanes.matching(|call| call.id().program == id))
            .collect();
        for call in waiting {
            self.on_call_withdrawn(call);
        }
    }
}
