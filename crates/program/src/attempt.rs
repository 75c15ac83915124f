//! Intents and outcomes of attempts: what may be dispatched, and what its end means.

use dahlia_types::{AttemptId, CallId, CallKind, LogIndex, Repeatability, Term, Tokens};

use crate::program::CallEnd;
use crate::refusal::{
    AttemptOpenSnafu, BudgetExhaustedSnafu, InvalidAbandonOutcomeSnafu, LimitReachedSnafu,
    MayHaveRunSnafu, NotReadySnafu, StaleIncarnationSnafu,
};
use crate::state::{check_open, stale};
use crate::switches::Switches;
use crate::{
    AbandonCall, AttemptOutcome, CallOutcome, CommandEffect, CommandRefusal, EngineIncarnation,
    GroupState, Mechanism, NotRunReason, OpenAttempt, Program, ProgramLimits, RecordIntent,
    RecordOutcome, ReleaseObligation, TokenReservation, UnknownAttempt,
};

impl GroupState {
    pub(crate) fn record_intent(
        &mut self,
        index: LogIndex,
        term: Term,
        command: &RecordIntent,
    ) -> Result<CommandEffect, CommandRefusal> {
        let limits = self.limits;
        let switches = self.switches.clone();
        let program = self.existing(command.attempt.call.program)?;
        check_open(program)?;
        check_order(program, &switches, command.attempt)?;
        check_incarnation(program, command)?;
        let terms = terms_of(program, &limits, command)?;
        // Reservation and obligation are in the same entry as the intent: there is no moment at
        // which an engine may work for the program without either.
        if switches.is_on(Mechanism::Reservation) {
            program.budget.reserve(terms.reserved);
        }
        if switches.is_on(Mechanism::Obligation) {
            record_obligation(program, index, command);
        }
        program.touch(command.at);
        let call = command.attempt.call;
        let found = program.call_mut(call).ok_or_else(|| stale(call))?;
        found.attempts = command.attempt.attempt;
        found.set_attempt(Some(OpenAttempt {
            number: command.attempt.attempt,
            engine: command.engine.clone(),
            incarnation: command.incarnation,
            epoch: term,
            intent: index,
            reserved: terms.reserved,
            generated_cap: terms.generated_cap,
            at: command.at,
        }));
        Ok(CommandEffect::IntentRecorded(terms))
    }

    pub(crate) fn record_outcome(
        &mut self,
        command: &RecordOutcome,
    ) -> Result<CommandEffect, CommandRefusal> {
        let switches = self.switches.clone();
        let id = command.attempt;
        let program = self.existing(id.call.program)?;
        if program.unknown.contains_key(&id) {
            return settle_unknown(program, command, &switches);
        }
        let call = program.call_mut(id.call).ok_or_else(|| stale(id.call))?;
        let open = call.open_attempt().ok_or_else(|| stale(id.call))?;
        if switches.is_on(Mechanism::AttemptMatch) && open.number != id.attempt {
            return Err(stale(id.call));
        }
        let open = call.set_attempt(None).ok_or_else(|| stale(id.call))?;
        program.touch(command.at);
        Ok(finish_attempt(program, command, open, &switches))
    }

    pub(crate) fn abandon_call(
        &mut self,
        command: &AbandonCall,
    ) -> Result<CommandEffect, CommandRefusal> {
        let rule = self.switches.is_on(Mechanism::NotRunRule);
        let id = command.call;
        let program = self.existing(id.program)?;
        let call = program.call(id).filter(|call| call.is_open()).ok_or_else(|| stale(id))?;
        if call.open_attempt().is_some() {
            return AttemptOpenSnafu { call: id }.fail();
        }
        let end = match (&command.outcome, program.may_have_run(id) && rule) {
            (CallOutcome::NotRun { reason, retry_after }, false) => {
                CallEnd::NotRun { reason: *reason, retry_after: *retry_after }
            }
            (CallOutcome::NotRun { .. }, true) => return MayHaveRunSnafu { call: id }.fail(),
            (CallOutcome::Unknown, true) => CallEnd::Unknown,
            _ => return InvalidAbandonOutcomeSnafu { call: id }.fail(),
        };
        program.touch(command.at);
        Ok(end_with(program, id, end))
    }
}

/// Ends `call` and reports its recorded outcome.
fn end_with(program: &mut Program, call: CallId, end: CallEnd) -> CommandEffect {
    let outcome = match &end {
        CallEnd::Answered { answer, usage } => {
            CallOutcome::Answered { answer: answer.clone(), usage: *usage }
        }
        CallEnd::NotRun { reason, retry_after } => {
            CallOutcome::NotRun { reason: *reason, retry_after: *retry_after }
        }
        CallEnd::Unknown => CallOutcome::Unknown,
    };
    let next = program.end_call(call, end);
    CommandEffect::CallEnded { call, outcome, next }
}

/// Refuses an intent that would break the order, run beside another attempt, or run a call again
/// that may run at most once.
fn check_order(
    program: &Program,
    switches: &Switches,
    id: AttemptId,
) -> Result<(), CommandRefusal> {
    let call = program.call(id.call).ok_or_else(|| stale(id.call))?;
    let follows = call.attempts.checked_add(1) == Some(id.attempt);
    if !call.is_open() || call.open_attempt().is_some() || !follows {
        return Err(stale(id.call));
    }
    let first = program.chains[&id.call.chain].first_open();
    if switches.is_on(Mechanism::OrderGate) && first != Some(id.call.number) {
        return NotReadySnafu { call: id.call }.fail();
    }
    // Such a call ends with its first attempt that may have run; this stands behind that.
    if call.repeatability == Repeatability::AtMostOnce
        && switches.is_on(Mechanism::AtMostOnce)
        && program.may_have_run(id.call)
    {
        return MayHaveRunSnafu { call: id.call }.fail();
    }
    Ok(())
}

/// Refuses an intent at a life of an engine that is known to be over.
fn check_incarnation(program: &Program, command: &RecordIntent) -> Result<(), CommandRefusal> {
    let lives = program.obligations.keys().filter(|life| life.engine == command.engine);
    let newest = lives.map(|life| life.incarnation).max();
    match newest {
        Some(known) if known > command.incarnation => {
            StaleIncarnationSnafu { engine: command.engine.clone(), known }.fail()
        }
        _ => Ok(()),
    }
}

/// Works out the reservation: the prompt's bound and a cap that what is left can pay.
fn terms_of(
    program: &Program,
    limits: &ProgramLimits,
    command: &RecordIntent,
) -> Result<TokenReservation, CommandRefusal> {
    let call = program.call(command.attempt.call).ok_or_else(|| stale(command.attempt.call))?;
    if command.prompt_bound > limits.history_tokens {
        let limit = limits.history_tokens.0;
        return LimitReachedSnafu { program: program.id, what: "history tokens", limit }.fail();
    }
    let wish = match call.kind() {
        CallKind::Generate => call.max_generated.max(Tokens(1)),
        CallKind::Tool(_) => Tokens::ZERO,
    };
    let needed = command.prompt_bound.saturating_add(wish.min(Tokens(1)));
    let left = program.budget.left();
    if left < needed {
        return BudgetExhaustedSnafu { program: program.id, left, needed }.fail();
    }
    let generated_cap = wish.min(left.saturating_sub(command.prompt_bound));
    let reserved = command.prompt_bound.saturating_add(generated_cap);
    Ok(TokenReservation { reserved, generated_cap })
}

/// A tool service holds no cache, so only a model engine owes a release.
fn record_obligation(program: &mut Program, index: LogIndex, command: &RecordIntent) {
    let kind = program.call(command.attempt.call).map(|call| call.kind().clone());
    if kind != Some(CallKind::Generate) {
        return;
    }
    let life =
        EngineIncarnation { engine: command.engine.clone(), incarnation: command.incarnation };
    program.obligations.insert(life, ReleaseObligation { last_intent: index });
}

/// Ends the open attempt: settles its reservation and ends its call or leaves it to be retried.
fn finish_attempt(
    program: &mut Program,
    command: &RecordOutcome,
    open: OpenAttempt,
    switches: &Switches,
) -> CommandEffect {
    let call = command.attempt.call;
    match &command.outcome {
        AttemptOutcome::Ran { answer, usage } => {
            program.budget.settle(open.reserved, *usage, switches);
            program.note_tokens(call, usage.total().min(open.reserved));
            let end = CallEnd::Answered { answer: answer.clone(), usage: *usage };
            end_with(program, call, end)
        }
        AttemptOutcome::Cut { usage } => {
            program.budget.settle(open.reserved, *usage, switches);
            if let Some(found) = program.call_mut(call) {
                found.ran_unanswered = true;
            }
            end_or_retry(program, call, switches)
        }
        AttemptOutcome::NotRun => {
            program.budget.free(open.reserved);
            end_or_retry(program, call, switches)
        }
        AttemptOutcome::Unknown => {
            // The engine may still be at work: what it can use stays set aside.
            let unknown = UnknownAttempt {
                engine: open.engine,
                incarnation: open.incarnation,
                reserved: open.reserved,
                at: command.at,
                fenced: false,
            };
            program.unknown.insert(command.attempt, unknown);
            end_or_retry(program, call, switches)
        }
    }
}

/// Ends a call that was not answered if it may not be tried again.
fn end_or_retry(program: &mut Program, call: CallId, switches: &Switches) -> CommandEffect {
    if !program.is_open() {
        let end = unanswered_end(program, call, switches);
        return end_with(program, call, end);
    }
    let repeatability = program.call(call).map(|call| call.repeatability);
    let once = repeatability == Some(Repeatability::AtMostOnce);
    if once && switches.is_on(Mechanism::AtMostOnce) && program.may_have_run(call) {
        return end_with(program, call, CallEnd::Unknown);
    }
    CommandEffect::Retryable(call)
}

/// How a call without an answer ends with its program: not run only when no attempt can have run.
pub(crate) fn unanswered_end(program: &Program, call: CallId, switches: &Switches) -> CallEnd {
    if switches.is_on(Mechanism::NotRunRule) && program.may_have_run(call) {
        return CallEnd::Unknown;
    }
    CallEnd::NotRun { reason: NotRunReason::ProgramClosed, retry_after: None }
}

/// Accounts for an attempt that had been recorded as unknown. The call's outcome stays, and an
/// answer is dropped: the call has ended as unknown or is being tried again.
fn settle_unknown(
    program: &mut Program,
    command: &RecordOutcome,
    switches: &Switches,
) -> Result<CommandEffect, CommandRefusal> {
    let id = command.attempt;
    if command.outcome == AttemptOutcome::Unknown {
        return Err(stale(id.call));
    }
    let Some(held) = program.unknown.remove(&id) else {
        return Err(stale(id.call));
    };
    match &command.outcome {
        AttemptOutcome::Ran { usage, .. } | AttemptOutcome::Cut { usage } => {
            program.budget.settle(held.reserved, *usage, switches);
            if let Some(call) = program.call_mut(id.call) {
                call.ran_unanswered = true;
            }
        }
        AttemptOutcome::NotRun | AttemptOutcome::Unknown => program.budget.free(held.reserved),
    }
    Ok(CommandEffect::Settled(id))
}
