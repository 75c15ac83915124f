//! Measures the cost of a program for a replica: resident bytes, with the text of its turns on store
//! daemons, and processor time per command.
//!
//! Run: `cargo run --release -p dahlia-program --example footprint -- <programs> <turns>`

use std::time::Instant;

use dahlia_program::{
    AttemptOutcome, BeginCall, ChunkReference, Command, CreateProgram, GroupState, MoveTurnToStore,
    ProgramLimits, ProgramSpecification, RecordIntent, RecordOutcome,
};
use dahlia_types::{
    AttemptId, CallId, CallKind, ChainId, Duration, EngineId, GroupId, IdempotencyKey, Incarnation,
    LogIndex, Message, ModelId, ProgramId, Repeatability, Role, TenantId, Term, Timestamp, Tokens,
    Usage,
};

const GROUP: GroupId = GroupId(1);
const PAGE_BYTES: u64 = 4_096;
const TURN_BYTES: usize = 2_000;

struct Replica {
    state: GroupState,
    commands: u64,
}

impl Replica {
    fn apply(&mut self, command: Command) {
        self.commands += 1;
        let applied = self.state.apply(LogIndex(self.commands), Term(1), &command);
        applied.expect("the schedule is legal");
    }

    fn run_turn(&mut self, program: ProgramId, number: u32) {
        let at = Timestamp(self.commands);
        let chain = ChainId(0);
        let question = message(Role::User, number);
        let answer = message(Role::Assistant, number);
        let text = [question.clone(), answer.clone()];
        self.apply(Command::BeginCall(BeginCall {
            program,
            chain,
            parent: None,
            number: Some(number),
            key: Some(IdempotencyKey::new(format!("{:032x}", u64::from(number)))),
            digest: u64::from(number),
            kind: CallKind::Generate,
            repeatability: Repeatability::Repeatable,
            messages: vec![question],
            max_generated: Tokens(500),
            at,
        }));
        let attempt = AttemptId { call: CallId { program, chain, number }, attempt: 1 };
        self.apply(Command::RecordIntent(RecordIntent {
            attempt,
            engine: EngineId::new("agent-llm-3"),
            incarnation: Incarnation(1),
            prompt_bound: Tokens(1_000),
            at,
        }));
        let usage = Usage { prompt: Tokens(900), cached: Tokens(800), generated: Tokens(400) };
        let outcome = AttemptOutcome::Ran { answer, usage };
        self.apply(Command::RecordOutcome(RecordOutcome { attempt, outcome, at }));
        let chunk = ChunkReference::of(&text, Tokens(500));
        let command = MoveTurnToStore { program, chain, turn: number - 1, chunk };
        self.apply(Command::MoveTurnToStore(command));
    }
}

fn message(role: Role, number: u32) -> Message {
    Message { role, content: format!("{number:0width$}", width = TURN_BYTES / 2) }
}

fn resident_bytes() -> u64 {
    let statistics = std::fs::read_to_string("/proc/self/statm").expect("this example needs Linux");
    let pages = statistics.split_whitespace().nth(1).expect("the second field is the resident set");
    pages.parse::<u64>().expect("a number") * PAGE_BYTES
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut argument = |default: u64| {
        arguments.next().map_or(default, |text| text.parse().expect("a whole number"))
    };
    let (programs, turns) = (argument(2_000), argument(78));
    let mut replica =
        Replica { state: GroupState::new(GROUP, ProgramLimits::default()), commands: 0 };
    let start_bytes = resident_bytes();
    let start = Instant::now();
    for number in 0..programs {
        let program = ProgramId { group: GROUP, number };
        let specification = ProgramSpecification {
            tenant: TenantId::new("bayou-current"),
            model: ModelId::new("agent-8b/fault-codes@3"),
            budget: Tokens(10_000_000),
            idle_expiry: Duration::from_secs(3_600),
        };
        let at = Timestamp::ZERO;
        replica.apply(Command::CreateProgram(CreateProgram { program, specification, at }));
        (1..=turns as u32).for_each(|turn| replica.run_turn(program, turn));
    }
    let micros_per_command = start.elapsed().as_secs_f64() * 1e6 / replica.commands as f64;
    let grown_bytes = resident_bytes() - start_bytes;
    println!("programs {programs}, turns {turns}, text on store daemons");
    println!("resident bytes per program: {}", grown_bytes / programs);
    println!("snapshot bytes per program: {}", replica.state.snapshot().len() as u64 / programs);
    println!("microseconds per command, making and digest included: {micros_per_command:.2}");
}
