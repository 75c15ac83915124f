//! The end of programs: close, expiry, release of what engines hold, and removal.

use dahlia_types::{CallId, ProgramId, Timestamp};

use crate::attempt::end_without_answer;
use crate::refusal::{NoObligationSnafu, ObligationRenewedSnafu, TurnMismatchSnafu};
use crate::switches::Switches;
use crate::{
    ChunkReference, CloseProgram, CloseReason, CommandEffect, CommandRefusal, ConfirmRelease,
    EngineIncarnation, ExpirePrograms, GroupState, Lifecycle, Mechanism, MoveTurnToStore, Program,
    ProgramLimits, TurnText,
};

impl GroupState {
    pub(crate) fn close_program(
        &mut self,
        command: &CloseProgram,
    ) -> Result<CommandEffect, CommandRefusal> {
        let switches = self.switches.clone();
        let program = self.program_mut(command.program)?;
        let ended = close(program, command.reason, command.at, &switches);
        Ok(CommandEffect::Closed { program: command.program, ended })
    }

    pub(crate) fn confirm_release(
        &mut self,
        command: &ConfirmRelease,
    ) -> Result<CommandEffect, CommandRefusal> {
        let cover_check = self.switches.is_on(Mechanism::ReleaseCover);
        let id = command.program;
        let program = self.program_mut(id)?;
        let engine = &command.engine;
        let confirmed =
            EngineIncarnation { engine: engine.clone(), incarnation: command.incarnation };
        if let Some(obligation) = program.obligations.get(&confirmed) {
            let last_intent = obligation.last_intent;
            let renewed = last_intent > command.covers || program.has_open_attempt_on(&confirmed);
            // The engine may hold something again for an intent that the confirmation does not
            // cover, or an attempt may still be in flight to it.
            if cover_check && renewed {
                let engine = engine.clone();
                return ObligationRenewedSnafu { program: id, engine, last_intent }.fail();
            }
        }
        let is_released = |holder: &EngineIncarnation| {
            holder.engine == *engine && holder.incarnation <= confirmed.incarnation
        };
        let count = program.obligations.len();
        program.obligations.retain(|holder, _| !is_released(holder));
        if program.obligations.len() == count {
            return NoObligationSnafu { program: id, engine: engine.clone() }.fail();
        }
        for attempt in program.unknown_attempts.values_mut() {
            if attempt.engine == *engine && attempt.incarnation <= command.incarnation {
                attempt.fenced = true;
            }
        }
        Ok(CommandEffect::ReleaseConfirmed)
    }

    /// Whether [`ExpirePrograms`] would change anything. An owner need not propose it otherwise.
    pub fn has_programs_to_expire(&self, command: &ExpirePrograms) -> bool {
        let is_due = |program: &Program| {
            is_idle(program, command.now) || is_removable(program, &self.limits, command)
        };
        self.programs.values().any(is_due)
    }

    pub(crate) fn expire_programs(&mut self, command: &ExpirePrograms) -> CommandEffect {
        let switches = self.switches.clone();
        let mut closed = Vec::new();
        for program in self.programs.values_mut().filter(|program| is_idle(program, command.now)) {
            close(program, CloseReason::Expired, command.now, &switches);
            closed.push(program.id);
        }
        let limits = self.limits;
        let removable = |program: &&Program| is_removable(program, &limits, command);
        let forgotten: Vec<ProgramId> =
            self.programs.values().filter(removable).map(|program| program.id).collect();
        for program in &forgotten {
            self.programs.remove(program);
        }
        CommandEffect::Expired { closed, forgotten }
    }

    pub(crate) fn move_turn(
        &mut self,
        command: &MoveTurnToStore,
    ) -> Result<CommandEffect, CommandRefusal> {
        let program = self.program_mut(command.program)?;
        let mismatch = || {
            let (chain, turn) = (command.chain.0, command.turn);
            TurnMismatchSnafu { program: command.program, chain, turn }.build()
        };
        let chain = program.chains.get_mut(&command.chain).ok_or_else(mismatch)?;
        let turn = chain.turns.get_mut(command.turn as usize).ok_or_else(mismatch)?;
        let expected = match &turn.text {
            TurnText::Inline(messages) => ChunkReference::of(messages, command.chunk.tokens),
            TurnText::Stored(chunk) => *chunk,
        };
        // A chunk of another turn or program would corrupt the history once the copy here is
        // dropped.
        if expected != command.chunk {
            return Err(mismatch());
        }
        let old_bytes = turn.bytes();
        turn.text = TurnText::Stored(command.chunk);
        let new_bytes = turn.bytes();
        program.history_bytes =
            program.history_bytes.saturating_sub(old_bytes).saturating_add(new_bytes);
        Ok(CommandEffect::TurnMoved)
    }
}

/// Ends a program and all its open calls without an open attempt. Returns those calls.
fn close(
    program: &mut Program,
    reason: CloseReason,
    at: Timestamp,
    switches: &Switches,
) -> Vec<CallId> {
    if !program.is_open() {
        return Vec::new();
    }
    program.lifecycle = Lifecycle::Closed { reason, at };
    program.record_activity(at);
    let idle = program.open_calls().filter(|(_, call)| call.open_attempt().is_none());
    let ended: Vec<CallId> = idle.map(|(call, _)| call).collect();
    for call in &ended {
        let end = end_without_answer(program, *call, switches);
        program.end_call(*call, end);
    }
    ended
}

/// Whether a program has been idle for its expiry time. It is not idle while a call is in progress,
/// however long that takes.
fn is_idle(program: &Program, now: Timestamp) -> bool {
    let idle_for = now.since(program.last_activity);
    program.is_open()
        && program.open_calls().next().is_none()
        && idle_for >= program.specification.idle_expiry
}

/// Whether an ended program may be removed: its records have been kept long enough, and no
/// obligation, open attempt or recent unfenced unknown attempt is left.
fn is_removable(program: &Program, limits: &ProgramLimits, command: &ExpirePrograms) -> bool {
    let Lifecycle::Closed { at, .. } = program.lifecycle else {
        return false;
    };
    let ended = at.max(program.last_activity);
    let unresolved = program.unknown_attempts.values().any(|attempt| {
        !attempt.fenced && command.now.since(attempt.at.max(ended)) < limits.keep_unknown
    });
    command.now.since(ended) >= command.keep_records
        && program.obligations.is_empty()
        && program.open_attempts().next().is_none()
        && !unresolved
}
