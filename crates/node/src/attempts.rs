//! Attempts: from placement's decision over the durable intent to the recorded outcome.

use dahlia_placement::{
    Action as Decision, AttemptFailure, Event as PlacementEvent, FailedAttempt, RefusalReason,
};
use dahlia_program::{
    AbandonCall, AttemptOutcome, CallOutcome, Command, CommandRefusal, EngineIncarnation,
    NotRunReason, RecordIntent, RecordOutcome, TokenReservation,
};
use dahlia_types::{
    Attempt, AttemptId, CallId, Duration, EngineId, GroupId, Incarnation, Message, ProgramId, Role,
    Term, Timestamp, Tokens,
};

use crate::group::{IntentPurpose, LiveAttempt, ProposalPurpose};
use crate::node::Node;
use crate::owner::token_bound;
use crate::request::{AttemptEnd, NotRunCause};
use crate::{Action, StartAttempt};

/// A cancelled attempt that has not ended by then is cancelled again.
const CANCEL_RETRY: Duration = Duration::from_secs(2);

impl Node {
    /// Tells placement what happened and carries out what it decides.
    pub(crate) fn schedule(&mut self, event: PlacementEvent, now: Timestamp) {
        for decision in self.scheduler.handle(event, now) {
            self.carry_out(decision, now);
        }
    }

    fn carry_out(&mut self, decision: Decision, now: Timestamp) {
        match decision {
            Decision::Dispatch { attempt, engine, incarnation, priority, .. } => {
                self.propose_intent(attempt, engine, incarnation, priority, now);
            }
            Decision::Refuse { call, retry_after, reason } => {
                self.abandon(call, not_run_reason(reason), Some(retry_after), now);
            }
            Decision::Recall { attempt, .. } => self.recall(attempt),
            // Without host memory nothing is offloaded; freeing is what comes nearest.
            Decision::Release { program, engine, .. }
            | Decision::Offload { program, engine, .. } => {
                self.release_engine(program, &engine, now);
            }
            Decision::Hold { program, engine, until } => self.hold(program, engine, until, now),
            Decision::FetchInventory(_) => {}
        }
    }

    fn propose_intent(
        &mut self,
        attempt: AttemptId,
        engine: EngineId,
        incarnation: Incarnation,
        priority: u64,
        now: Timestamp,
    ) {
        let id = attempt.call.program.group;
        let Some(prompt) = self.compose_prompt(attempt.call, now) else {
            // Its chunks were dropped while it waited for an engine. Placement counts the attempt
            // as dispatched: unless it is taken back, the call is known there and never placed.
            self.schedule(PlacementEvent::AttemptWithdrawn(attempt), now);
            self.defer_call(attempt.call);
            return;
        };
        let bound = |sum: Tokens, message: &Message| sum.saturating_add(token_bound(message));
        let prompt_bound = prompt.iter().fold(Tokens::ZERO, bound);
        let command =
            RecordIntent { attempt, engine: engine.clone(), incarnation, prompt_bound, at: now };
        let holder = EngineIncarnation { engine, incarnation };
        let intent = IntentPurpose { attempt, holder, prompt_bound, priority };
        if self.settings.faults.send_before_intent {
            self.send_early(&intent, now);
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let purpose = ProposalPurpose::Intent(intent);
        // Not leading any more is fine: the next owner dispatches the call.
        let proposed = group.propose(Command::RecordIntent(command), purpose, now);
        self.dirty.insert(id);
        if proposed.is_err() {
            self.schedule(PlacementEvent::AttemptWithdrawn(attempt), now);
        }
    }

    /// The intent reached a quorum: only now may bytes leave. A new owner that finds it must be
    /// able to tell "not run" from "unknown".
    pub(crate) fn intent_recorded(
        &mut self,
        id: GroupId,
        terms: TokenReservation,
        purpose: Option<ProposalPurpose>,
        now: Timestamp,
    ) {
        let Some(ProposalPurpose::Intent(intent)) = purpose else {
            return;
        };
        let limit = self.settings.attempt_limit;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if self.settings.faults.send_before_intent {
            return;
        }
        let epoch = group.replica.term();
        let live = LiveAttempt { epoch, cancel_at: now + limit };
        group.live_attempts.insert(intent.attempt, live);
        if !self.may_use(&intent.holder.engine, now) {
            // The engine was taken out of service while the intent was on its way to a quorum. No
            // byte has left, and only this owner could have sent one in this epoch.
            self.recalled_attempts.insert(intent.attempt);
            let reason = "the engine was taken out of service before the attempt was sent";
            let end = not_run(reason);
            self.attempt_ended(intent.attempt, epoch, end, now);
            return;
        }
        let prompt = self.compose_prompt(intent.attempt.call, now);
        let start = self.describe_start(&intent, epoch, terms.generated_cap);
        match (prompt, start) {
            (Some(messages), Some(mut start)) => {
                start.messages = messages;
                self.actions.push(Action::StartAttempt(Box::new(start)));
            }
            _ => {
                // Its chunks were dropped meanwhile. No byte has left, so it has not run.
                let reason = "its history has to be read back first".to_owned();
                let end = not_run(&reason);
                self.attempt_ended(intent.attempt, epoch, end, now);
            }
        }
    }

    /// A test's fault: the bytes leave although no quorum knows of the intent.
    fn send_early(&mut self, intent: &IntentPurpose, now: Timestamp) {
        let call = intent.attempt.call;
        let limit = self.settings.attempt_limit;
        let Some(group) = self.groups.get_mut(&call.program.group) else {
            return;
        };
        let epoch = group.replica.term();
        let live = LiveAttempt { epoch, cancel_at: now + limit };
        group.live_attempts.insert(intent.attempt, live);
        let found = group.state.program(call.program).and_then(|program| program.call(call));
        let wish = found.map_or(Tokens::ZERO, |call| call.max_generated());
        let prompt = self.compose_prompt(call, now);
        if let (Some(messages), Some(mut start)) =
            (prompt, self.describe_start(intent, epoch, wish))
        {
            start.messages = messages;
            self.actions.push(Action::StartAttempt(Box::new(start)));
        }
    }

    /// What the engine must be told of an attempt, without the prompt.
    pub(crate) fn describe_start(
        &self,
        intent: &IntentPurpose,
        epoch: Term,
        max_generated: Tokens,
    ) -> Option<StartAttempt> {
        let call = intent.attempt.call;
        let program = self.groups.get(&call.program.group)?.state.program(call.program)?;
        Some(StartAttempt {
            attempt: Attempt {
                id: intent.attempt,
                epoch,
                engine_incarnation: intent.holder.incarnation,
            },
            engine: intent.holder.engine.clone(),
            tenant: program.specification().tenant.clone(),
            model: program.specification().model.clone(),
            messages: Vec::new(),
            prompt_bound: intent.prompt_bound,
            max_generated,
            priority: intent.priority,
        })
    }

    pub(crate) fn intent_refused(
        &mut self,
        id: GroupId,
        intent: &IntentPurpose,
        refusal: &CommandRefusal,
        now: Timestamp,
    ) {
        let call = intent.attempt.call;
        match refusal {
            CommandRefusal::BudgetExhausted { .. } | CommandRefusal::LimitReached { .. } => {
                let reason = match refusal {
                    CommandRefusal::BudgetExhausted { .. } => NotRunReason::BudgetExhausted,
                    _ => NotRunReason::LimitReached,
                };
                self.abandon(call, reason, None, now);
                self.schedule(PlacementEvent::AttemptWithdrawn(intent.attempt), now);
            }
            CommandRefusal::StaleIncarnation { .. } => {
                let failure = AttemptFailure::Refused;
                let failed = FailedAttempt { attempt: intent.attempt, failure, retryable: true };
                self.schedule(PlacementEvent::Failed(failed), now);
            }
            _ => {
                log::debug!(target: "programs", "An intent of {id} was refused: {refusal}.");
                self.schedule(PlacementEvent::AttemptWithdrawn(intent.attempt), now);
            }
        }
    }

    /// Ends a call that has no attempt under way.
    pub(crate) fn abandon(
        &mut self,
        call: CallId,
        reason: NotRunReason,
        retry_after: Option<Duration>,
        now: Timestamp,
    ) {
        let id = call.program.group;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let may_have_run =
            group.state.program(call.program).is_some_and(|program| program.may_have_run(call));
        let outcome = if may_have_run {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun { reason, retry_after }
        };
        let command = Command::AbandonCall(AbandonCall { call, outcome, at: now });
        let _ = group.propose(command, ProposalPurpose::Housekeeping, now);
        self.dirty.insert(id);
    }

    /// An attempt ended as its reader saw it.
    pub(crate) fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        epoch: Term,
        end: AttemptEnd,
        now: Timestamp,
    ) {
        let id = attempt.call.program.group;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        // A reader of an earlier ownership reports late: the present owner finds out by itself.
        let current = group.live_attempts.get(&attempt).is_some_and(|live| live.epoch == epoch);
        if !current || !group.is_serving() {
            return;
        }
        group.live_attempts.remove(&attempt);
        let outcome = match end {
            AttemptEnd::Ran { text, usage } => {
                let answer = Message { role: Role::Assistant, content: text };
                AttemptOutcome::Ran { answer, usage }
            }
            AttemptEnd::Cut { usage } => AttemptOutcome::Cut { usage },
            AttemptEnd::NotRun { cause, .. } => {
                if cause != NotRunCause::Engine {
                    self.not_run_causes.insert(attempt, cause);
                }
                AttemptOutcome::NotRun
            }
            AttemptEnd::Unknown { reason } => {
                log::info!(target: "programs", "The outcome of {attempt} is unknown. {reason}.");
                AttemptOutcome::Unknown
            }
        };
        let command = Command::RecordOutcome(RecordOutcome { attempt, outcome, at: now });
        let _ = group.propose(command, ProposalPurpose::Housekeeping, now);
        self.dirty.insert(id);
    }

    /// Tells placement of an attempt whose call ended with it.
    pub(crate) fn attempt_settled(&mut self, command: &Command, now: Timestamp) {
        let Command::RecordOutcome(recorded) = command else {
            return;
        };
        let attempt = recorded.attempt;
        self.recalled_attempts.remove(&attempt);
        self.not_run_causes.remove(&attempt);
        if let Some(group) = self.groups.get_mut(&attempt.call.program.group) {
            group.resumed_attempts.remove(&attempt);
        }
        let event = match &recorded.outcome {
            AttemptOutcome::Ran { usage, .. } => {
                PlacementEvent::Finished { attempt, usage: *usage }
            }
            other => PlacementEvent::Failed(FailedAttempt {
                attempt,
                failure: failure_of(other),
                retryable: false,
            }),
        };
        self.schedule(event, now);
    }

    /// Tells placement of an attempt whose call may be tried again.
    pub(crate) fn attempt_failed(&mut self, call: CallId, command: &Command, now: Timestamp) {
        let Command::RecordOutcome(recorded) = command else {
            return;
        };
        let attempt = recorded.attempt;
        let was_recalled = self.recalled_attempts.remove(&attempt);
        let cause = self.not_run_causes.remove(&attempt);
        if !self.is_open_program(call.program) {
            self.abandon(call, NotRunReason::ProgramClosed, None, now);
            return;
        }
        if cause == Some(NotRunCause::Call) {
            // No engine is ejected for a call that none can hold.
            self.schedule(PlacementEvent::AttemptWithdrawn(attempt), now);
            self.abandon(call, NotRunReason::LimitReached, None, now);
            return;
        }
        if attempt.attempt >= self.settings.attempts_per_call {
            let failed =
                FailedAttempt { attempt, failure: failure_of(&recorded.outcome), retryable: false };
            self.schedule(PlacementEvent::Failed(failed), now);
            self.abandon(call, NotRunReason::AttemptsFailed, None, now);
            return;
        }
        let group = self.groups.get_mut(&call.program.group);
        if group.is_some_and(|group| group.resumed_attempts.remove(&attempt)) {
            self.call_ready(call, now);
            return;
        }
        let failure = match failure_of(&recorded.outcome) {
            AttemptFailure::Refused if was_recalled => AttemptFailure::Recalled,
            AttemptFailure::Refused if cause == Some(NotRunCause::Overloaded) => {
                AttemptFailure::Overloaded
            }
            failure => failure,
        };
        let failed = FailedAttempt { attempt, failure, retryable: true };
        self.schedule(PlacementEvent::Failed(failed), now);
    }

    fn is_open_program(&self, program: ProgramId) -> bool {
        let group = self.groups.get(&program.group);
        group.and_then(|group| group.state.program(program)).is_some_and(|found| found.is_open())
    }

    /// Cancels attempts that have run for too long, and again those that did not end by it.
    pub(crate) fn check_attempts(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            for (attempt, live) in &mut group.live_attempts {
                if live.cancel_at <= now {
                    // A cancel may be lost on its way, and an engine that hangs ends nothing by
                    // itself: only the attempt's end stops the repetition.
                    live.cancel_at = now + CANCEL_RETRY;
                    let epoch = live.epoch;
                    self.actions.push(Action::CancelAttempt { attempt: *attempt, epoch });
                }
            }
        }
    }

    /// Cancels what still runs for a program that ended.
    pub(crate) fn cancel_attempts_of(&mut self, id: GroupId, program: ProgramId, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        for (attempt, live) in &mut group.live_attempts {
            if attempt.call.program == program {
                live.cancel_at = live.cancel_at.min(now);
            }
        }
        self.check_attempts(now);
    }

    fn recall(&mut self, attempt: AttemptId) {
        let group = self.groups.get(&attempt.call.program.group);
        if let Some(live) = group.and_then(|group| group.live_attempts.get(&attempt)) {
            let epoch = live.epoch;
            self.recalled_attempts.insert(attempt);
            self.actions.push(Action::RecallAttempt { attempt, epoch });
        }
    }

    fn hold(&mut self, program: ProgramId, engine: EngineId, until: Timestamp, now: Timestamp) {
        if let Some(group) = self.groups.get(&program.group) {
            let epoch = group.replica.term();
            let length = until.since(now);
            self.actions.push(Action::HoldCache { program, engine, epoch, length });
        }
    }
}

fn not_run(reason: &str) -> AttemptEnd {
    let cause = NotRunCause::Engine;
    AttemptEnd::NotRun { cause, reason: reason.to_owned(), retry_after: None }
}

fn failure_of(outcome: &AttemptOutcome) -> AttemptFailure {
    match outcome {
        AttemptOutcome::NotRun => AttemptFailure::Refused,
        AttemptOutcome::Cut { .. } | AttemptOutcome::Ran { .. } | AttemptOutcome::Unknown => {
            AttemptFailure::EngineLost
        }
    }
}

fn not_run_reason(reason: RefusalReason) -> NotRunReason {
    match reason {
        RefusalReason::Overloaded | RefusalReason::NoEngine => NotRunReason::Overloaded,
        RefusalReason::TenantLimit => NotRunReason::LimitReached,
        RefusalReason::RetriesExhausted | RefusalReason::NotRetryable => {
            NotRunReason::AttemptsFailed
        }
    }
}
