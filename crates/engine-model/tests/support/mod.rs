//! A test harness with one engine, and builders of identifiers and commands.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use dahlia_engine_model::{
    EngineCommand, EngineEvent, EngineModel, EngineParameters, EngineReply, Priority, Segment,
    Submit,
};
use dahlia_types::{
    AttemptId, CallId, ChainId, EngineId, GroupId, Incarnation, ModelId, ProgramId, TenantId, Term,
    Timestamp, Tokens, Usage,
};

/// An engine model and the virtual time that drives it.
pub struct Harness {
    pub engine: EngineModel,
    pub now: Timestamp,
}

impl Harness {
    pub fn new() -> Self {
        Self::with_parameters(|_| {})
    }

    pub fn with_parameters(change: impl FnOnce(&mut EngineParameters)) -> Self {
        let mut parameters = EngineParameters::default();
        change(&mut parameters);
        parameters.check().expect("the parameters are in range");
        let id = EngineId::new("engine");
        let engine = EngineModel::new(id, Incarnation(1), parameters, 1).with_model(model_id());
        Self { engine, now: Timestamp::ZERO }
    }

    pub fn handle(&mut self, command: EngineCommand) -> EngineReply {
        self.engine.handle(command, self.now)
    }

    pub fn submit(&mut self, submit: Submit) -> EngineReply {
        self.handle(EngineCommand::Submit(submit))
    }

    /// Runs the engine until `at`.
    pub fn run_until(&mut self, at: Timestamp) -> Vec<EngineEvent> {
        self.now = at;
        self.engine.advance(at)
    }

    /// Runs the engine until it has nothing left to do.
    pub fn run_until_idle(&mut self) -> Vec<EngineEvent> {
        let mut events = self.engine.advance(self.now);
        while let Some(at) = self.engine.next_wakeup() {
            self.now = self.now.max(at);
            events.extend(self.engine.advance(self.now));
        }
        events
    }

    /// Returns the tokens cached for a program.
    pub fn cached_tokens(&self, number: u64) -> u64 {
        let inventory = self.engine.inventory(self.now);
        let found = inventory.programs.iter().find(|held| held.program == program_id(number));
        found.map_or(0, |held| held.tokens.0)
    }
}

pub fn model_id() -> ModelId {
    ModelId::new("model")
}

pub fn tenant_id(name: &str) -> TenantId {
    TenantId::new(name)
}

pub fn program_id(number: u64) -> ProgramId {
    ProgramId { group: GroupId(0), number }
}

pub fn attempt_id(number: u64, call: u32) -> AttemptId {
    let call = CallId { program: program_id(number), chain: ChainId(0), number: call };
    AttemptId { call, attempt: 1 }
}

pub fn segment(hash: u64, tokens: u64) -> Segment {
    Segment { hash, tokens: Tokens(tokens) }
}

pub fn one_segment_prompt(hash: u64, tokens: u64) -> Vec<Segment> {
    vec![segment(hash, tokens)]
}

pub fn answer_hash(number: u64, call: u32) -> u64 {
    1_000_000 + number * 1000 + u64::from(call)
}

pub fn submit_command(number: u64, call: u32, prompt: Vec<Segment>, generate: u64) -> Submit {
    Submit {
        attempt: attempt_id(number, call),
        epoch: Term(1),
        incarnation: None,
        tenant: tenant_id("tenant"),
        model: model_id(),
        prompt,
        prompt_bound: Tokens(u64::MAX),
        generate: Tokens(generate),
        answer_hash: answer_hash(number, call),
        priority: Priority(0),
    }
}

/// Returns the usage with which an attempt finished.
pub fn finished_usage(events: &[EngineEvent], id: AttemptId) -> Usage {
    let found = events.iter().find_map(|event| match event {
        EngineEvent::Finished { attempt, usage, .. } if *attempt == id => Some(*usage),
        _ => None,
    });
    found.expect("the attempt must have finished")
}
