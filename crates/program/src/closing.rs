//! The end of programs: close, expiry, release of what engines hold, and forgetting.

use dahlia_types::{CallId, ProgramId, Timestamp};

use crate::attempt::unanswered_end;
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
        let program = self.existing(command.program)?;
        let ended = close(program, command.reason, command.at, &switches);
        Ok(CommandEffect::Closed { program: command.program, ended })
    }

    pub(crate) fn confirm_release(
        &mut self,
        command: &ConfirmRelease,
    ) -> Result<CommandEffect, CommandRefusal> {
        let cover = self.switches.is_on(Mechanism::ReleaseCover);
        let id = command.program;
        let program = self.existing(id)?;
        let engine = &command.engine;
        let life = EngineIncarnation { engine: engine.clone(), incarnation: command.incarnation };
        if let Some(obligation) = program.obligations.get(&life) {
            let last_intent = obligation.last_intent;
            let renewed = last_intent > command.covers || program.has_open_attempt_on(&life);
            // The engine may hold something again by an intent that the confirmation did not see,
            // or an attempt's bytes may still be under way to it.
            if cover && renewed {
                let engine = engine.clone();
                return ObligationRenewedSnafu { program: id, engine, last_intent }.fail();
            }
        }
        let ended = |held: &EngineIncarnation| {
            held.engine == *engine && held.incarnation <= life.incarnation
        };
        let before = program.obligations.len();
        program.obligations.retain(|held, _| !ended(held));
        if program.obligations.len() == before {
            return NoObligationSnafu { program: id, engine: engine.clone() }.fail();
        }
        for attempt in program.unknown.values_mut() {
            if attempt.engine == *engine && attempt.incarnation <= command.incarnation {
                attempt.fenced = true;
            }
        }
        Ok(CommandEffect::ReleaseConfirmed)
    }

    /// Whether [`ExpirePrograms`] would change anything: an owner need not propose it otherwise.
    pub fn has_programs_to_expire(&self, command: &ExpirePrograms) -> bool {
        let is_due = |program: &Program| {
            is_idle(program, command.now) || is_forgettable(program, &self.limits, command)
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
        let over = |program: &&Program| is_forgettable(program, &limits, command);
        let forgotten: Vec<ProgramId> =
            self.programs.values().filter(over).map(|program| program.id).collect();
        for program in &forgotten {
            self.programs.remove(program);
        }
        CommandEffect::Expired { closed, forgotten }
    }

    pub(crate) fn move_turn(
        &mut self,
        command: &MoveTurnToStore,
    ) -> Result<CommandEffect, CommandRefusal> {
        let program = self.existing(command.program)?;
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
        // A chunk of another turn or program would mix histories once the copy here is gone.
        if expected != command.chunk {
            return Err(mismatch());
        }
        let before = turn.bytes();
        turn.text = TurnText::Stored(command.chunk);
        let after = turn.bytes();
        program.history_bytes = program.history_bytes.saturating_sub(before).saturating_add(after);
        Ok(CommandEffect::TurnMoved)
    }
}

/// Ends a program and every call of it without an attempt under way. Gives those calls.
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
    program.touch(at);
    let idle = program.open_calls().filter(|(_, call)| call.open_attempt().is_none());
    let ended: Vec<CallId> = idle.map(|(call, _)| call).collect();
    for call in &ended {
        let end = unanswered_end(program, *call, switches);
        program.end_call(*call, end);
    }
    ended
}

/// A program with a call in progress is not idle, however long it takes.
fn is_idle(program: &Program, now: Timestamp) -> bool {
    let idle_for = now.since(program.last_activity);
    program.is_open()
        && program.open_calls().next().is_none()
        && idle_for >= program.specification.idle_expiry
}

/// Whether nothing of an ended program can matter any more.
fn is_forgettable(program: &Program, limits: &ProgramLimits, command: &ExpirePrograms) -> bool {
    let Lifecycle::Closed { at, .. } = program.lifecycle else {
        return false;
    };
    let ended = at.max(program.last_activity);
    let unresolved = program.unknown.values().any(|attempt| {
        !attempt.fenced && command.now.since(attempt.at.max(ended)) < limits.keep_unknown
    });
    command.now.since(ended) >= command.keep_records
        && program.obligations.is_empty()
        && program.open_attempts().next().is_none()
        && !unresolved
}
