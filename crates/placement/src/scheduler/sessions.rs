//! Cache over pauses, moves and the end of programs.

use dahlia_types::{CallId, ChainId, Duration, EngineId, ProgramId, Timestamp};

use super::Scheduler;
use crate::programs::Paused;
use crate::retention::PauseEnd;
use crate::view::EngineSlot;
use crate::{Action, CallReady, PauseBegan, ReleaseReason};

impl Scheduler {
    pub(super) fn pause_began(
        &mut self,
        pause: PauseBegan,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let PauseBegan { program: id, chain, tool, .. } = pause;
        let Some(program) = self.programs.get(id) else { return };
        let home = program.home(chain);
        let keep = self.time_to_keep(&program.tenant.clone(), tool.as_deref(), home);
        let paused = Paused { tool, since: now, home, keep_until: now + keep };
        if let Some(program) = self.programs.get_mut(id) {
            program.pause(chain, paused);
        }
        if !self.is_managed() {
            return;
        }
        if keep == Duration::ZERO {
            self.stats.pauses_dropped += 1;
        } else {
            self.stats.pauses_held += 1;
        }
        if let Some(slot) = home {
            self.keep_or_drop(id, slot, now, actions);
        }
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
    pub(super) fn learn_return(&mut self, ready: &CallReady, now: Timestamp) {
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
                let reason = ReleaseReason::Pause;
                actions.push(Action::Release { program: id, engine, reason });
            }
        }
    }

    fn time_to_keep(
        &self,
        tenant: &dahlia_types::TenantId,
        tool: Option<&str>,
        home: Option<EngineSlot>,
    ) -> Duration {
        let occupancy = home.map_or(0.0, |slot| self.engines.entry(slot).occupancy());
        self.retention.time_to_live(tenant, tool, occupancy)
    }

    fn withdraw_waiting(&mut self, id: ProgramId) {
        let waiting: Vec<CallId> = self
            .models
            .values()
            .flat_map(|model| model.queue.matching(|call| call.id().program == id))
            .collect();
        for call in waiting {
            self.call_withdrawn(call);
        }
    }
}
