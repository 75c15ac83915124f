//! Handles applied commands at the owner of a group.

use dahlia_placement::{Event as PlacementEvent, HistorySegment, ReadyCall};
use dahlia_program::{
    BeginOutcome, CallOutcome, Command, CommandEffect, CommandRefusal, Program, RecordedOutcome,
};
use dahlia_types::{CallId, ChainId, Duration, GroupId, Message, ProgramId, Timestamp, Tokens};

use crate::Action;
use crate::group::ProposalPurpose;
use crate::node::Node;
use crate::request::{Response, refusal_error};

/// Bytes of text per token in the upper bound of a prompt. Real tokenizers produce fewer tokens for
/// the same text. An engine refuses a prompt above the bound without running it.
const MIN_BYTES_PER_TOKEN: u64 = 3;
/// Tokens that the chat format may add to a message.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;
/// The default weight of a program in placement.
const DEFAULT_WEIGHT: u32 = 100;

impl Node {
    /// Acts on the result of a command that a group committed while this node owns it.
    pub(crate) fn handle_applied_command(
        &mut self,
        id: GroupId,
        command: &Command,
        result: Result<CommandEffect, CommandRefusal>,
        purpose: Option<ProposalPurpose>,
        now: Timestamp,
    ) {
        match result {
            Err(refusal) => self.handle_refused_command(id, command, &refusal, purpose, now),
            Ok(CommandEffect::Begun(begun)) => self.handle_begun_call(begun, purpose, now),
            Ok(CommandEffect::IntentRecorded(terms)) => {
                self.intent_recorded(id, terms, purpose, now)
            }
            Ok(CommandEffect::CallEnded { call, outcome, next }) => {
                self.attempt_settled(command, now);
                self.call_ended(call, &outcome, now);
                if let Some(next) = next {
                    self.call_ready(next, now);
                }
            }
            Ok(CommandEffect::Retryable(call)) => self.attempt_failed(call, command, now),
            Ok(CommandEffect::Created(program) | CommandEffect::Closed { program, .. })
                if !matches!(command, Command::CloseProgram(_)) =>
            {
                self.answer_with_program(id, program, purpose);
            }
            Ok(CommandEffect::Closed { program, ended }) => {
                self.answer_with_program(id, program, purpose);
                self.program_ended(id, program, &ended, now);
            }
            Ok(CommandEffect::Expired { closed, forgotten }) => {
                for program in forgotten {
                    self.forget_chunks(program);
                }
                for program in closed {
                    self.program_ended(id, program, &[], now);
                }
            }
            Ok(CommandEffect::BudgetRaised(_)) => {
                if let Command::RaiseBudget(raise) = command {
                    self.answer_with_program(id, raise.program, purpose);
                }
            }
            Ok(CommandEffect::Ledger(reply)) => {
                if let Some(ProposalPurpose::Request(to)) = purpose {
                    self.reply(to, Response::Ledger(reply));
                }
            }
            Ok(CommandEffect::ReleaseConfirmed) => self.release_confirmed(command, now),
            Ok(_) => {}
        }
    }

    fn handle_begun_call(
        &mut self,
        begun: BeginOutcome,
        purpose: Option<ProposalPurpose>,
        now: Timestamp,
    ) {
        let response = match &begun {
            BeginOutcome::Ready(call)
            | BeginOutcome::Waiting(call)
            | BeginOutcome::Joined(call) => Response::Begun { call: *call },
            BeginOutcome::Replayed(call, outcome) => {
                let attempt = self.last_attempt(*call);
                Response::Ended { call: *call, attempt, outcome: outcome.clone() }
            }
            // The text is read back when the requester waits for the outcome.
            BeginOutcome::ReplayedFromStore(call, _) => Response::Begun { call: *call },
        };
        if let Some(ProposalPurpose::Request(to)) = purpose {
            self.reply(to, response);
        }
        let skips_order = self.settings.faults.dispatch_waiting;
        match begun {
            BeginOutcome::Ready(call) => self.call_ready(call, now),
            BeginOutcome::Waiting(call) if skips_order => self.call_ready(call, now),
            _ => {}
        }
    }

    /// Passes a call that may run to placement.
    pub(crate) fn call_ready(&mut self, call: CallId, now: Timestamp) {
        let is_open = self
            .groups
            .get(&call.program.group)
            .and_then(|group| group.state.program(call.program)?.call(call))
            .is_some_and(|found| found.is_open() && found.open_attempt().is_none());
        if !is_open {
            return;
        }
        let Some(prompt) = self.compose_prompt(call, now) else {
            self.defer_call(call);
            return;
        };
        if let Some(ready) = self.describe_ready_call(call, &prompt) {
            self.schedule(PlacementEvent::CallReady(ready), now);
        }
    }

    fn describe_ready_call(&self, id: CallId, prompt: &[Message]) -> Option<ReadyCall> {
        let group = self.groups.get(&id.program.group)?;
        let program = group.state.program(id.program)?;
        let call = program.call(id)?;
        let segments = prompt.iter().map(history_segment);
        Some(ReadyCall {
            call: id,
            attempt: call.attempts() + 1,
            model: program.specification().model.clone(),
            tenant: program.specification().tenant.clone(),
            history: segments.collect(),
            max_generated: call.max_generated(),
            attained_service: Duration::ZERO,
            depth: branch_depth(program, id.chain),
            weight: DEFAULT_WEIGHT,
        })
    }

    fn call_ended(&mut self, call: CallId, outcome: &CallOutcome, now: Timestamp) {
        if !matches!(outcome, CallOutcome::Answered { .. }) {
            self.schedule(PlacementEvent::CallWithdrawn(call), now);
        }
        self.answer_waiters(call, outcome);
        self.actions.push(Action::ForgetAnswer { call });
    }

    pub(crate) fn answer_waiters(&mut self, call: CallId, outcome: &CallOutcome) {
        let attempt = self.last_attempt(call);
        let Some(group) = self.groups.get_mut(&call.program.group) else {
            return;
        };
        for to in group.waiters.remove(&call).unwrap_or_default() {
            self.reply(to, Response::Ended { call, attempt, outcome: outcome.clone() });
        }
    }

    fn program_ended(&mut self, id: GroupId, program: ProgramId, ended: &[CallId], now: Timestamp) {
        for call in ended {
            let outcome = self.groups.get(&id).and_then(|group| {
                match group.state.program(program)?.outcome(*call)? {
                    RecordedOutcome::Inline(outcome) => Some(outcome),
                    RecordedOutcome::Stored(_) => None,
                }
            });
            if let Some(outcome) = outcome {
                self.call_ended(*call, &outcome, now);
            }
        }
        self.cancel_attempts_of(id, program, now);
        self.schedule(PlacementEvent::ProgramClosed(program), now);
        self.release_program(id, program, now);
    }

    fn handle_refused_command(
        &mut self,
        id: GroupId,
        command: &Command,
        refusal: &CommandRefusal,
        purpose: Option<ProposalPurpose>,
        now: Timestamp,
    ) {
        match purpose {
            Some(ProposalPurpose::Request(to)) => {
                self.reply(to, Response::Failed(refusal_error(refusal)));
            }
            Some(ProposalPurpose::Intent(intent)) => self.intent_refused(id, &intent, refusal, now),
            _ => {
                log::debug!(target: "programs", "A command was refused: {refusal}.");
                self.release_refused(command, now);
            }
        }
    }

    fn answer_with_program(
        &mut self,
        id: GroupId,
        program: ProgramId,
        purpose: Option<ProposalPurpose>,
    ) {
        let Some(ProposalPurpose::Request(to)) = purpose else {
            return;
        };
        if let Some(view) = self.program_view(id, program, false) {
            self.reply(to, Response::Program(Box::new(view)));
        }
    }
}

/// Returns the number of branches between a chain and its program's main chain.
fn branch_depth(program: &Program, chain: ChainId) -> u32 {
    let mut depth = 0;
    let mut current = chain;
    while let Some(branch) = program.chain(current).and_then(|found| found.branch()) {
        depth += 1;
        current = branch.chain;
    }
    depth
}

/// Returns an upper bound of a message's tokens.
pub(crate) fn token_bound(message: &Message) -> Tokens {
    let bytes = message.content.len() as u64;
    Tokens(bytes.div_ceil(MIN_BYTES_PER_TOKEN) + MESSAGE_OVERHEAD_TOKENS)
}

fn history_segment(message: &Message) -> HistorySegment {
    use std::hash::{DefaultHasher, Hash, Hasher};
    // The hash never leaves this daemon, so the standard library's hasher suffices.
    let mut hasher = DefaultHasher::new();
    message.role.hash(&mut hasher);
    message.content.hash(&mut hasher);
    HistorySegment { hash: hasher.finish(), tokens: token_bound(message) }
}
