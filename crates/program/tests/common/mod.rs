//! Helpers that build and apply commands, shared by the test files.
#![allow(dead_code)]

use dahlia_program::{
    AbandonCall, AttemptOutcome, BeginCall, BeginOutcome, CallOutcome, CloseProgram, CloseReason,
    Command, CommandEffect, CommandRefusal, ConfirmRelease, CreateProgram, ExpirePrograms,
    GroupState, MoveTurnToStore, NotRunReason, ProgramLimits, ProgramSpecification, RaiseBudget,
    RecordIntent, RecordOutcome,
};
use dahlia_types::{
    AttemptId, Bytes, CallId, CallKind, ChainId, Duration, EngineId, GroupId, IdempotencyKey,
    Incarnation, LogIndex, Message, ModelId, ProgramId, Repeatability, Role, TenantId, Term,
    Timestamp, Tokens, Usage,
};

pub const GROUP: GroupId = GroupId(3);
pub const MAIN: ChainId = ChainId(0);

pub fn program_id(number: u64) -> ProgramId {
    ProgramId { group: GROUP, number }
}

pub fn seconds(count: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(count)
}

pub fn message(role: Role, content: impl Into<String>) -> Message {
    Message { role, content: content.into() }
}

pub fn specification(budget: u64) -> ProgramSpecification {
    ProgramSpecification {
        tenant: TenantId::new("bayou"),
        model: ModelId::new("agent-8b/fault-codes@3"),
        budget: Tokens(budget),
        idle_expiry: Duration::from_secs(600),
    }
}

pub fn usage(prompt: u64, generated: u64) -> Usage {
    Usage { prompt: Tokens(prompt), cached: Tokens::ZERO, generated: Tokens(generated) }
}

pub fn attempt_id(call: CallId, attempt: u32) -> AttemptId {
    AttemptId { call, attempt }
}

/// The state of a group with the index of its last log entry, and a method for each command.
pub struct TestGroup {
    pub state: GroupState,
    pub index: u64,
    pub now: Timestamp,
}

impl TestGroup {
    pub fn new(limits: ProgramLimits) -> Self {
        Self { state: GroupState::new(GROUP, limits), index: 0, now: seconds(1) }
    }

    /// A group with default limits and program 1, which has this budget.
    pub fn with_program(budget: u64) -> Self {
        let mut group = Self::new(ProgramLimits::default());
        group.create_program(1, budget).expect("the group is empty");
        group
    }

    pub fn apply(&mut self, command: Command) -> Result<CommandEffect, CommandRefusal> {
        self.index += 1;
        self.state.apply(LogIndex(self.index), Term(1), &command)
    }

    pub fn create_program(
        &mut self,
        number: u64,
        budget: u64,
    ) -> Result<CommandEffect, CommandRefusal> {
        let command = CreateProgram {
            program: program_id(number),
            specification: specification(budget),
            at: self.now,
        };
        self.apply(Command::CreateProgram(command))
    }

    /// The command that begins a call of program 1 without key or number.
    pub fn begin_command(&self, chain: ChainId, text: &str) -> BeginCall {
        BeginCall {
            program: program_id(1),
            chain,
            parent: None,
            number: None,
            key: None,
            digest: text.bytes().map(u64::from).sum(),
            kind: CallKind::Generate,
            repeatability: Repeatability::Repeatable,
            messages: vec![message(Role::User, text)],
            max_generated: Tokens(10),
            at: self.now,
        }
    }

    pub fn begin(&mut self, call: BeginCall) -> Result<BeginOutcome, CommandRefusal> {
        match self.apply(Command::BeginCall(call))? {
            CommandEffect::Begun(begun) => Ok(begun),
            other => panic!("expected the result of a begun call, found {other:?}"),
        }
    }

    /// Begins a call that must be ready at once.
    pub fn begin_ready(&mut self, call: BeginCall) -> CallId {
        match self.begin(call).expect("the call is accepted") {
            BeginOutcome::Ready(call) => call,
            other => panic!("expected a ready call, found {other:?}"),
        }
    }

    pub fn record_intent(
        &mut self,
        attempt: AttemptId,
        engine: &str,
        bound: u64,
    ) -> Result<CommandEffect, CommandRefusal> {
        self.record_intent_for(attempt, engine, 1, bound)
    }

    pub fn record_intent_for(
        &mut self,
        attempt: AttemptId,
        engine: &str,
        incarnation: u64,
        bound: u64,
    ) -> Result<CommandEffect, CommandRefusal> {
        self.apply(Command::RecordIntent(RecordIntent {
            attempt,
            engine: EngineId::new(engine),
            incarnation: Incarnation(incarnation),
            prompt_bound: Tokens(bound),
            at: self.now,
        }))
    }

    pub fn record_outcome(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Result<CommandEffect, CommandRefusal> {
        self.apply(Command::RecordOutcome(RecordOutcome { attempt, outcome, at: self.now }))
    }

    pub fn record_answer(
        &mut self,
        attempt: AttemptId,
        text: &str,
    ) -> Result<CommandEffect, CommandRefusal> {
        let answer = message(Role::Assistant, text);
        self.record_outcome(attempt, AttemptOutcome::Ran { answer, usage: usage(5, 5) })
    }

    /// Runs a call of the main chain and answers it.
    pub fn run_turn(&mut self, text: &str, answer: &str) -> CallId {
        let call = self.begin_ready(self.begin_command(MAIN, text));
        self.record_intent(attempt_id(call, 1), "e1", 10).expect("the budget is large enough");
        self.record_answer(attempt_id(call, 1), answer).expect("the attempt is open");
        call
    }

    pub fn abandon(
        &mut self,
        call: CallId,
        outcome: CallOutcome,
    ) -> Result<CommandEffect, CommandRefusal> {
        self.apply(Command::AbandonCall(AbandonCall { call, outcome, at: self.now }))
    }

    pub fn raise_budget(&mut self, total: u64) -> Result<CommandEffect, CommandRefusal> {
        let command = RaiseBudget { program: program_id(1), total: Tokens(total) };
        self.apply(Command::RaiseBudget(command))
    }

    pub fn close_program(&mut self) -> Result<CommandEffect, CommandRefusal> {
        self.apply(Command::CloseProgram(CloseProgram {
            program: program_id(1),
            reason: CloseReason::Closed,
            at: self.now,
        }))
    }

    pub fn confirm_release(
        &mut self,
        engine: &str,
        incarnation: u64,
        covers: LogIndex,
    ) -> Result<CommandEffect, CommandRefusal> {
        self.apply(Command::ConfirmRelease(ConfirmRelease {
            program: program_id(1),
            engine: EngineId::new(engine),
            incarnation: Incarnation(incarnation),
            covers,
            freed: Bytes::ZERO,
        }))
    }

    pub fn expire_programs(&mut self, keep_records: Duration) -> CommandEffect {
        let command = ExpirePrograms { now: self.now, keep_records };
        self.apply(Command::ExpirePrograms(command)).expect("expiry is never refused")
    }

    pub fn move_turn(
        &mut self,
        chain: ChainId,
        turn: u32,
        chunk: dahlia_program::ChunkReference,
    ) -> Result<CommandEffect, CommandRefusal> {
        let program = program_id(1);
        let command = MoveTurnToStore { program, chain, turn, chunk };
        self.apply(Command::MoveTurnToStore(command))
    }

    pub fn program(&self) -> &dahlia_program::Program {
        self.state.program(program_id(1)).expect("program 1 exists")
    }

    /// The texts of a chain's history.
    pub fn history(&self, chain: ChainId) -> Vec<String> {
        let messages = self.program().history(chain).expect("the history is held here");
        messages.into_iter().map(|message| message.content.clone()).collect()
    }
}

pub fn key(text: &str) -> Option<IdempotencyKey> {
    Some(IdempotencyKey::new(text))
}

pub fn not_run(reason: NotRunReason) -> CallOutcome {
    CallOutcome::NotRun { reason, retry_after: None }
}
