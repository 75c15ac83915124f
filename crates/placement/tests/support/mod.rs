//! Drives a scheduler with simulated engines and calls.

#![allow(dead_code, reason = "each test file uses a part of it")]

use dahlia_placement::{
    Action, AttemptFailure, ChainPause, EngineCapacity, EngineDescription, EngineReport, Event,
    FailedAttempt, HistorySegment, PlacementSettings, PolicyKind, ReadyCall, Scheduler,
};
use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, GroupId, Incarnation, ModelId, ProgramId,
    TenantId, Timestamp, Tokens, Usage, Zone,
};

pub const KV_TOKENS: u64 = 1_000_000;

/// A scheduler with the current time.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Timestamp,
}

/// A dispatch among a scheduler's actions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    pub attempt: AttemptId,
    pub engine: EngineId,
    pub priority: u64,
}

impl Harness {
    pub fn new(kind: PolicyKind, engines: usize) -> Self {
        Self::with_settings(kind, engines, |_| {})
    }

    pub fn with_settings(
        kind: PolicyKind,
        engines: usize,
        change: impl FnOnce(&mut PlacementSettings),
    ) -> Self {
        let mut settings = PlacementSettings::default();
        change(&mut settings);
        settings.check().expect("the settings are in range");
        let scheduler = Scheduler::new(settings, kind, 1);
        let mut harness = Self { scheduler, now: Timestamp(1_000_000) };
        for number in 0..engines {
            harness.handle(Event::EngineJoined(engine_description(number)));
        }
        harness
    }

    /// Passes an event to the scheduler at the current time.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.scheduler.handle(event, self.now)
    }

    /// Advances the time and sends a tick.
    pub fn advance(&mut self, length: Duration) -> Vec<Action> {
        self.now = self.now + length;
        self.handle(Event::Tick)
    }

    /// Makes a program's call ready.
    pub fn submit_call(&mut self, program: u64, number: u32) -> Vec<Action> {
        self.handle(Event::CallReady(ready_call(program, number)))
    }

    /// Runs a call to its end and returns the engine that was chosen for it.
    pub fn run_call(&mut self, program: u64, number: u32) -> EngineId {
        let actions = self.submit_call(program, number);
        let dispatch = dispatches(&actions).pop().expect("the call is dispatched");
        self.finish(dispatch.attempt);
        dispatch.engine
    }

    pub fn finish(&mut self, attempt: AttemptId) -> Vec<Action> {
        let usage = Usage { prompt: Tokens(5000), cached: Tokens::ZERO, generated: Tokens(100) };
        self.handle(Event::Finished { attempt, usage })
    }

    pub fn fail(&mut self, attempt: AttemptId, failure: AttemptFailure) -> Vec<Action> {
        self.handle(Event::Failed(FailedAttempt { attempt, failure, retryable: true }))
    }

    pub fn pause_chain(&mut self, program: u64, tool: &str) -> Vec<Action> {
        let pause = ChainPause {
            program: program_id(program),
            chain: ChainId(0),
            tool: Some(tool.to_owned()),
            context: Tokens(5100),
        };
        self.handle(Event::PauseBegan(pause))
    }

    /// Reports the same load for engines `0..engines`.
    pub fn report_all(&mut self, engines: usize, prefill_backlog: u64) -> Vec<Action> {
        let reports = (0..engines).map(|number| {
            let mut report = engine_report(number, self.now);
            report.prefill_backlog = Tokens(prefill_backlog);
            report
        });
        let reports: Vec<EngineReport> = reports.collect();
        reports.into_iter().flat_map(|report| self.handle(Event::EngineReport(report))).collect()
    }
}

pub fn model() -> ModelId {
    ModelId::new("model")
}

pub fn engine_id(number: usize) -> EngineId {
    EngineId::new(format!("engine-{number}"))
}

pub fn program_id(number: u64) -> ProgramId {
    ProgramId { group: GroupId(0), number }
}

pub fn call_id(program: u64, number: u32) -> CallId {
    CallId { program: program_id(program), chain: ChainId(0), number }
}

pub fn engine_description(number: usize) -> EngineDescription {
    EngineDescription {
        engine: engine_id(number),
        incarnation: Incarnation(1),
        zone: Zone::new("zone"),
        one_way_delay: Duration::from_millis(1),
        models: vec![model()],
        capacity: EngineCapacity {
            kv_tokens: Tokens(KV_TOKENS),
            prefill_per_second: 30_000.0,
            step_base: Duration::from_millis(18),
            step_per_sequence: Duration::from_micros(50),
            max_batch: 256,
            transfer_per_second: 150_000.0,
            host_tokens: Tokens::ZERO,
        },
    }
}

pub fn engine_report(number: usize, at: Timestamp) -> EngineReport {
    EngineReport {
        engine: engine_id(number),
        incarnation: Incarnation(1),
        reported_at: at,
        running: 10,
        waiting: 0,
        prefill_backlog: Tokens::ZERO,
        resident: Tokens(200_000),
        pinned: Tokens(100_000),
        models: vec![model()],
        draining: false,
    }
}

/// The `number`-th call of a program whose history grows by two segments per turn.
pub fn ready_call(program: u64, number: u32) -> ReadyCall {
    let turns = u64::from(number);
    let segments = (0..2 * turns + 1).map(|place| HistorySegment {
        hash: program * 1000 + place,
        tokens: Tokens(if place == 0 { 5000 } else { 100 }),
    });
    ReadyCall {
        call: call_id(program, number),
        attempt: 1,
        model: model(),
        tenant: TenantId::new(format!("tenant-{}", program % 3)),
        history: segments.collect(),
        max_generated: Tokens(1000),
        attained_service: Duration::ZERO,
        depth: 0,
        weight: 100,
    }
}

pub fn dispatches(actions: &[Action]) -> Vec<Dispatch> {
    let found = actions.iter().filter_map(|action| match action {
        Action::Dispatch { attempt, engine, priority, .. } => {
            Some(Dispatch { attempt: *attempt, engine: engine.clone(), priority: *priority })
        }
        _ => None,
    });
    found.collect()
}

pub fn refusals(actions: &[Action]) -> Vec<(CallId, Duration)> {
    let found = actions.iter().filter_map(|action| match action {
        Action::Refuse { call, retry_after, .. } => Some((*call, *retry_after)),
        _ => None,
    });
    found.collect()
}

pub fn releases(actions: &[Action]) -> Vec<(ProgramId, EngineId)> {
    let found = actions.iter().filter_map(|action| match action {
        Action::Release { program, engine, .. } => Some((*program, engine.clone())),
        _ => None,
    });
    found.collect()
}
