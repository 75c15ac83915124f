//! The life cycle of an attempt: placement's decision, the durable intent, the dispatch and the recorded
//! outcome.

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

/// Delay after which a cancelled attempt that has not ended is cancelled again.
const CANCEL_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Node {
    /// Passes an event to placement and carries out its decisions.
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
            // There is no host memory to offload to, so the memory is released instead.
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
            // Its chunks were dropped while it waited for an engine. Placement counts the attempt as
            // dispatched. Unless it is withdrawn, placement knows the call and never places it.
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
        // If this daemon is no longer the leader, the next owner dispatches the call.
        let proposed = group.propose(Command::RecordIntent(command), purpose, now);
        self.dirty.insert(id);
        if proposed.is_err() {
            self.schedule(PlacementEvent::AttemptWithdrawn(attempt), now);
        }
    }

    /// Sends the attempt once its intent has reached a quorum, and not before: a new owner must be able to tell
    /// "not run" from "unknown" by the intent.
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
            // The engine was taken out of service before the intent reached a quorum. Nothing has been sent,
            // and only this owner could have sent the attempt in this epoch.
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
                // Its chunks have been dropped since the intent was proposed. Nothing has been sent, so the
                // attempt has not run.
                let reason = "its history has to be read back first".to_owned();
                let end = not_run(&reason);
                self.attempt_ended(intent.attempt, epoch, end, now);
            }
        }
    }

    /// Fault for tests: sends the attempt before a quorum has the intent.
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
        let max_generated = found.map_or(Tokens::ZERO, |call| call.max_generated());
        let prompt = self.compose_prompt(call, now);
        if let (Some(messages), Some(mut start)) =
            (prompt, self.describe_start(intent, epoch, max_generated))
        {
            start.messages = messages;
            self.actions.push(Action::StartAttempt(Box::new(start)));
        }
    }

    /// Builds the start of an attempt for the engine, without the prompt.
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

    /// Proposes the outcome of an attempt, as the reader of its stream reported it.
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
        // Ignores late reports of readers from an earlier ownership: the current owner determines the outcome
        // itself.
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

    /// Reports to placement an attempt that ended its call.
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

    /// Reports to placement an attempt whose call may be retried.
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
            // No engine can hold the call, so none is ejected for it.
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

    /// Cancels attempts that have run for too long, and cancels those again that have not ended since.
    pub(crate) fn check_attempts(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            for (attempt, live) in &mut group.live_attempts {
                if live.cancel_at <= now {
                    // A cancel may be lost, and an engine that hangs ends no attempt, so it is repeated until
                    // the attempt has ended.
                    live.cancel_at = now + CANCEL_RETRY_DELAY;
                    let epoch = live.epoch;
                    self.actions.push(Action::CancelAttempt { attempt: *attempt, epoch });
                }
            }
        }
    }

    /// Cancels the running attempts of a program that ended.
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
