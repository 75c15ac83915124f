//! Cache over pauses, moves and the end of programs.

use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, ProgramId, TenantId, Timestamp, Tokens,
};

use super::Scheduler;
use crate::cost::{recompute_time, transfer_time};
use crate::programs::{CachedOn, Paused};
use crate::retention::{PauseEnd, PausePlan};
use crate::view::EngineSlot;
use crate::{Action, CacheTier, ChainPause, ReadyCall, ReleaseReason};

/// How much longer than planned cache is held so that an offload can be completed.
const OFFLOAD_GRACE: Duration = Duration::from_secs(10);

impl Scheduler {
    pub(super) fn pause_began(
        &mut self,
        pause: ChainPause,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let ChainPause { program: id, chain, tool, context } = pause;
        let Some(program) = self.programs.get(id) else { return };
        let home = program.home(chain);
        let tenant = program.tenant.clone();
        let plan = self.plan_pause(&tenant, tool.as_deref(), context, home);
        let grace = if plan.offload { OFFLOAD_GRACE } else { Duration::ZERO };
        let keep_until = now + plan.hold + grace;
        let paused = Paused { tool, since: now, home, keep_until };
        if let Some(program) = self.programs.get_mut(id) {
            program.pause(chain, paused);
        }
        if !self.is_managed() {
            return;
        }
        self.count_plan(plan);
        if plan.offload {
            self.offloads.insert((now + plan.hold, id, chain), now);
        }
        if let Some(slot) = home {
            self.keep_or_drop(id, slot, now, actions);
        }
    }

    /// Begins the offloads whose hold is over.
    pub(super) fn begin_offloads(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((key, since)) = self.offloads.first_key_value().map(|(k, v)| (*k, *v)) {
            let (due, program, chain) = key;
            if due > now {
                return;
            }
            self.offloads.pop_first();
            let state = self.programs.get(program);
            let paused = state.and_then(|state| state.paused_since(chain, since));
            if let Some(slot) = paused.and_then(|paused| paused.home) {
                let engine = self.engines.entry(slot).id.clone();
                actions.push(Action::Offload { program, chain, engine });
            }
        }
    }

    /// A copy lies in the host's memory: the engine's own may go, if the chain still waits.
    pub(super) fn offloaded(
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
        let Some(paused) = program.paused_mut(chain).filter(|paused| paused.home == Some(slot))
        else {
            return;
        };
        paused.keep_until = now;
        if tokens > Tokens::ZERO {
            self.stats.pauses_offloaded += 1;
            program.set_offloaded(chain, CachedOn { slot, tokens: tokens.0 });
        }
        self.keep_or_drop(id, slot, now, actions);
    }

    pub(super) fn chain_ended(
        &mut self,
        id: ProgramId,
        chain: ChainId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.get_mut(id) else { return };
        let home = program.home(chain);
        program.end_chain(chain);
        if let Some(slot) = home.filter(|_| self.is_managed()) {
            self.keep_or_drop(id, slot, now, actions);
        }
    }

    /// Notes the length of the pause from which the call's chain comes back.
    pub(super) fn learn_return(&mut self, ready: &ReadyCall, now: Timestamp) {
        let Some(program) = self.programs.get_mut(ready.call.program) else { return };
        if let Some(paused) = program.resume(ready.call.chain) {
            let end = PauseEnd::Returned(now.since(paused.since));
            self.retention.learn(&ready.tenant, paused.tool.as_deref(), end);
        }
    }

    pub(super) fn program_closed(
        &mut self,
        id: ProgramId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.remove(id) else { return };
        for paused in program.paused() {
            self.retention.learn(&program.tenant, paused.tool.as_deref(), PauseEnd::Never);
        }
        self.withdraw_waiting(id);
        for slot in program.engines() {
            self.ask_release(id, slot, now, actions);
        }
    }

    pub(super) fn program_withdrawn(
        &mut self,
        id: ProgramId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.programs.remove(id);
        self.withdraw_waiting(id);
        let call = CallId { program: id, chain: ChainId(0), number: 0 };
        let open = self.open.range(AttemptId { call, attempt: 0 }..).map(|(attempt, _)| *attempt);
        let open: Vec<AttemptId> = open.take_while(|it| it.call.program == id).collect();
        // Otherwise they would count as dispatched from here for good, and a call that comes back
        // with its program would pass for one that is under way.
        for attempt in open {
            self.attempt_withdrawn(attempt, now, actions);
        }
    }

    pub(super) fn released(&mut self, program: ProgramId, engine: &EngineId) {
        if let Some(slot) = self.engines.slot(engine) {
            self.programs.release_confirmed(program, slot);
        }
    }

    /// Sends releases again that no engine has confirmed.
    pub(super) fn repeat_releases(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let since = now - self.settings.retention.release_retry;
        for (program, slot) in self.programs.overdue(since) {
            self.ask_release(program, slot, now, actions);
        }
    }

    pub(super) fn ask_release(
        &mut self,
        program: ProgramId,
        slot: EngineSlot,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.programs.release_asked(program, slot, now);
        let engine = self.engines.entry(slot).id.clone();
        let reason = ReleaseReason::ProgramEnded;
        actions.push(Action::Release { program, engine, reason });
    }

    /// Frees copies on other engines, once the newest one has answered.
    pub(super) fn release_superseded(
        &mut self,
        call: CallId,
        current: EngineSlot,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_managed() {
            return;
        }
        let Some(program) = self.programs.get_mut(call.program) else { return };
        for slot in program.superseded(call.chain, current) {
            program.forget_cache(slot);
            let engine = self.engines.entry(slot).id.clone();
            let reason = ReleaseReason::Moved;
            actions.push(Action::Release { program: call.program, engine, reason });
        }
    }

    /// An attempt ends an engine's hold; chains that still wait want theirs back.
    pub(super) fn renew_hold(
        &mut self,
        id: ProgramId,
        slot: EngineSlot,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.get(id) else { return };
        let wanted = program.keep_until(slot).filter(|until| *until > now);
        if let Some(until) = wanted.filter(|_| self.is_managed() && !program.is_open_on(slot)) {
            let engine = self.engines.entry(slot).id.clone();
            actions.push(Action::Hold { program: id, engine, until });
        }
    }

    /// Holds the program's cache as long as its paused chains want it, or gives it up.
    fn keep_or_drop(
        &mut self,
        id: ProgramId,
        slot: EngineSlot,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(program) = self.programs.get_mut(id) else { return };
        // While attempts of other chains run there, their ends decide.
        if program.is_open_on(slot) {
            return;
        }
        let engine = self.engines.entry(slot).id.clone();
        match program.keep_until(slot).filter(|until| *until > now) {
            Some(until) => actions.push(Action::Hold { program: id, engine, until }),
            None => {
                program.forget_cache(slot);
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
        home: Option<EngineSlot>,
    ) -> PausePlan {
        let Some(slot) = home else {
            return PausePlan { hold: Duration::ZERO, offload: false };
        };
        let entry = self.engines.entry(slot);
        let worth_copying = context.0 >= self.settings.cost.least_copied;
        let has_host_memory = entry.capacity.host_tokens > Tokens::ZERO && worth_copying;
        let recompute = recompute_time(entry, context.0).max(f64::EPSILON);
        let copy = transfer_time(entry, context.0, CacheTier::Host).filter(|_| has_host_memory);
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

    fn withdraw_waiting(&mut self, id: ProgramId) {
        let waiting: Vec<CallId> = self
            .models
            .values()
            .flat_map(|model| model.lanes.matching(|call| call.id().program == id))
            .collect();
        for call in waiting {
            self.call_withdrawn(call);
        }
    }
}
