//! Intents and outcomes of attempts, and the end of calls.

use dahlia_types::{AttemptId, CallId, CallKind, LogIndex, Repeatability, Term, Tokens};

use crate::program::CallEnd;
use crate::refusal::{
    AttemptOpenSnafu, BudgetExhaustedSnafu, InvalidAbandonOutcomeSnafu, LimitReachedSnafu,
    MayHaveRunSnafu, NotReadySnafu, StaleIncarnationSnafu,
};
use crate::state::{check_open, stale_attempt};
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
        let program = self.program_mut(command.attempt.call.program)?;
        check_open(program)?;
        check_order(program, &switches, command.attempt)?;
        check_incarnation(program, command)?;
        let reservation = compute_reservation(program, &limits, command)?;
        // The reservation and the obligation are part of the same log entry as the intent, so that
        // an engine never works for the program without them.
        if switches.is_on(Mechanism::Reservation) {
            program.budget.reserve(reservation.reserved);
        }
        if switches.is_on(Mechanism::Obligation) {
            record_obligation(program, index, command);
        }
        program.record_activity(command.at);
        let call = command.attempt.call;
        let found = program.call_mut(call).ok_or_else(|| stale_attempt(call))?;
        found.attempts = command.attempt.attempt;
        found.replace_attempt(Some(OpenAttempt {
            number: command.attempt.attempt,
            engine: command.engine.clone(),
            incarnation: command.incarnation,
            epoch: term,
            intent: index,
            reserved: reservation.reserved,
            generated_cap: reservation.generated_cap,
            at: command.at,
        }));
        Ok(CommandEffect::IntentRecorded(reservation))
    }

    pub(crate) fn record_outcome(
        &mut self,
        command: &RecordOutcome,
    ) -> Result<CommandEffect, CommandRefusal> {
        let switches = self.switches.clone();
        let id = command.attempt;
        let program = self.program_mut(id.call.program)?;
        if program.unknown_attempts.contains_key(&id) {
            return settle_unknown(program, command, &switches);
        }
        let call = program.call_mut(id.call).ok_or_else(|| stale_attempt(id.call))?;
        let open = call.open_attempt().ok_or_else(|| stale_attempt(id.call))?;
        if switches.is_on(Mechanism::AttemptMatch) && open.number != id.attempt {
            return Err(stale_attempt(id.call));
        }
        let open = call.replace_attempt(None).ok_or_else(|| stale_attempt(id.call))?;
        program.record_activity(command.at);
        Ok(finish_attempt(program, command, open, &switches))
    }

    pub(crate) fn abandon_call(
        &mut self,
        command: &AbandonCall,
    ) -> Result<CommandEffect, CommandRefusal> {
        let not_run_rule = self.switches.is_on(Mechanism::NotRunRule);
        let id = command.call;
        let program = self.program_mut(id.program)?;
        let call =
            program.call(id).filter(|call| call.is_open()).ok_or_else(|| stale_attempt(id))?;
        if call.open_attempt().is_some() {
            return AttemptOpenSnafu { call: id }.fail();
        }
        let end = match (&command.outcome, program.may_have_run(id) && not_run_rule) {
            (CallOutcome::NotRun { reason, retry_after }, false) => {
                CallEnd::NotRun { reason: *reason, retry_after: *retry_after }
            }
            (CallOutcome::NotRun { .. }, true) => return MayHaveRunSnafu { call: id }.fail(),
            (CallOutcome::Unknown, true) => CallEnd::Unknown,
            _ => return InvalidAbandonOutcomeSnafu { call: id }.fail(),
        };
        program.record_activity(command.at);
        Ok(end_call(program, id, end))
    }
}

/// Ends `call` and returns its recorded outcome.
fn end_call(program: &mut Program, call: CallId, end: CallEnd) -> CommandEffect {
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

/// Refuses an intent that would break the chain's order, run concurrently with another attempt, or
/// run an at-most-once call again.
fn check_order(
    program: &Program,
    switches: &Switches,
    id: AttemptId,
) -> Result<(), CommandRefusal> {
    let call = program.call(id.call).ok_or_else(|| stale_attempt(id.call))?;
    let follows = call.attempts.checked_add(1) == Some(id.attempt);
    if !call.is_open() || call.open_attempt().is_some() || !follows {
        return Err(stale_attempt(id.call));
    }
    let first = program.chains[&id.call.chain].first_open();
    if switches.is_on(Mechanism::OrderGate) && first != Some(id.call.number) {
        return NotReadySnafu { call: id.call }.fail();
    }
    // An at-most-once call ends with its first attempt that may have run. This check is a second
    // safeguard.
    if call.repeatability == Repeatability::AtMostOnce
        && switches.is_on(Mechanism::AtMostOnce)
        && program.may_have_run(id.call)
    {
        return MayHaveRunSnafu { call: id.call }.fail();
    }
    Ok(())
}

/// Refuses an intent for an engine incarnation if a newer one is known.
fn check_incarnation(program: &Program, command: &RecordIntent) -> Result<(), CommandRefusal> {
    let holders = program.obligations.keys().filter(|holder| holder.engine == command.engine);
    let newest = holders.map(|holder| holder.incarnation).max();
    match newest {
        Some(known) if known > command.incarnation => {
            StaleIncarnationSnafu { engine: command.engine.clone(), known }.fail()
        }
        _ => Ok(()),
    }
}

/// Computes the reservation: the bound of the prompt plus a cap on generation that the remaining
/// budget covers.
fn compute_reservation(
    program: &Program,
    limits: &ProgramLimits,
    command: &RecordIntent,
) -> Result<TokenReservation, CommandRefusal> {
    let call =
        program.call(command.attempt.call).ok_or_else(|| stale_attempt(command.attempt.call))?;
    if command.prompt_bound > limits.history_tokens {
        let limit = limits.history_tokens.0;
        return LimitReachedSnafu { program: program.id, what: "history tokens", limit }.fail();
    }
    let requested = match call.kind() {
        CallKind::Generate => call.max_generated.max(Tokens(1)),
        CallKind::Tool(_) => Tokens::ZERO,
    };
    let needed = command.prompt_bound.saturating_add(requested.min(Tokens(1)));
    let left = program.budget.left();
    if left < needed {
        return BudgetExhaustedSnafu { program: program.id, left, needed }.fail();
    }
    let generated_cap = requested.min(left.saturating_sub(command.prompt_bound));
    let reserved = command.prompt_bound.saturating_add(generated_cap);
    Ok(TokenReservation { reserved, generated_cap })
}

/// Records the obligation to release what the engine will hold. A tool service holds no cache, so
/// an attempt there creates no obligation.
fn record_obligation(program: &mut Program, index: LogIndex, command: &RecordIntent) {
    let kind = program.call(command.attempt.call).map(|call| call.kind().clone());
    if kind != Some(CallKind::Generate) {
        return;
    }
    let holder =
        EngineIncarnation { engine: command.engine.clone(), incarnation: command.incarnation };
    program.obligations.insert(holder, ReleaseObligation { last_intent: index });
}

/// Ends the open attempt, settles its reservation, and ends its call or leaves it to be retried.
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
            program.raise_chain_tokens(call, usage.total().min(open.reserved));
            let end = CallEnd::Answered { answer: answer.clone(), usage: *usage };
            end_call(program, call, end)
        }
        AttemptOutcome::Cut { usage } => {
            program.budget.settle(open.reserved, *usage, switches);
            if let Some(found) = program.call_mut(call) {
                found.ran_without_answer = true;
            }
            end_or_retry(program, call, switches)
        }
        AttemptOutcome::NotRun => {
            program.budget.refund(open.reserved);
            end_or_retry(program, call, switches)
        }
        AttemptOutcome::Unknown => {
            // The engine may still be running the attempt, so its tokens stay reserved.
            let unknown = UnknownAttempt {
                engine: open.engine,
                incarnation: open.incarnation,
                reserved: open.reserved,
                at: command.at,
                fenced: false,
            };
            program.unknown_attempts.insert(command.attempt, unknown);
            end_or_retry(program, call, switches)
        }
    }
}

/// Ends an unanswered call if it may not be attempted again.
fn end_or_retry(program: &mut Program, call: CallId, switches: &Switches) -> CommandEffect {
    if !program.is_open() {
        let end = end_without_answer(program, call, switches);
        return end_call(program, call, end);
    }
    let repeatability = program.call(call).map(|call| call.repeatability);
    let at_most_once = repeatability == Some(Repeatability::AtMostOnce);
    if at_most_once && switches.is_on(Mechanism::AtMostOnce) && program.may_have_run(call) {
        return end_call(program, call, CallEnd::Unknown);
    }
    CommandEffect::Retryable(call)
}

/// How an unanswered call ends when its program ends: as not run only if no attempt can have run.
pub(crate) fn end_without_answer(program: &Program, call: CallId, switches: &Switches) -> CallEnd {
    if switches.is_on(Mechanism::NotRunRule) && program.may_have_run(call) {
        return CallEnd::Unknown;
    }
    CallEnd::NotRun { reason: NotRunReason::ProgramClosed, retry_after: None }
}

/// Settles an attempt that had been recorded as unknown. The call's outcome does not change and an
/// answer is dropped: the call has ended as unknown or is being attempted again.
fn settle_unknown(
    program: &mut Program,
    command: &RecordOutcome,
    switches: &Switches,
) -> Result<CommandEffect, CommandRefusal> {
    let id = command.attempt;
    if command.outcome == AttemptOutcome::Unknown {
        return Err(stale_attempt(id.call));
    }
    let Some(unknown) = program.unknown_attempts.remove(&id) else {
        return Err(stale_attempt(id.call));
    };
    match &command.outcome {
        AttemptOutcome::Ran { usage, .. } | AttemptOutcome::Cut { usage } => {
            program.budget.settle(unknown.reserved, *usage, switches);
            if let Some(call) = program.call_mut(id.call) {
                call.ran_without_answer = true;
            }
        }
        AttemptOutcome::NotRun | AttemptOutcome::Unknown => program.budget.refund(unknown.reserved),
    }
    Ok(CommandEffect::Settled(id))
}
