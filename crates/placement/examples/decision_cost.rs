//! Prints the time of a placement decision:
//! `cargo run --release -p dahlia-placement --example decision_cost`.
//!
//! 600 engines serve 5 models; 700 programs (a daemon's share of 260,000) make calls with a history
//! of 40 segments. A decision lasts from a call's readiness to its dispatch. The handling of its
//! end, of a load report and of a cache event is timed separately.

use std::time::{Duration as WallTime, Instant};

use dahlia_placement::{
    Action, CacheNotice, EngineCapacity, EngineDescription, EngineReport, Event, HistorySegment,
    PlacementSettings, PolicyKind, ReadyCall, Scheduler,
};
use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, GroupId, Incarnation, ModelId, ProgramId,
    TenantId, Timestamp, Tokens, Usage, Zone,
};

const ENGINES: usize = 600;
const MODELS: usize = 5;
const PROGRAMS: u64 = 700;
const ROUNDS: u32 = 60;
const SEGMENTS: u64 = 40;

/// Wall time spent on one kind of event.
#[derive(Default)]
struct EventTiming {
    total: WallTime,
    count: u32,
}

impl EventTiming {
    fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = work();
        self.total += start.elapsed();
        self.count += 1;
        result
    }

    fn mean_micros(&self) -> f64 {
        self.total.as_secs_f64() * 1e6 / f64::from(self.count.max(1))
    }
}

fn main() {
    println!("{ENGINES} engines, {MODELS} models, {PROGRAMS} programs, {SEGMENTS} segments");
    println!(
        "{:<14} {:>12} {:>12} {:>12} {:>12} {:>10}",
        "policy", "decision us", "finish us", "report us", "cache us", "examined"
    );
    for kind in PolicyKind::ALL {
        measure(kind);
    }
}

fn measure(kind: PolicyKind) {
    let mut scheduler = Scheduler::new(PlacementSettings::default(), kind, 1);
    let mut now = Timestamp(1_000_000);
    for number in 0..ENGINES {
        scheduler.handle(Event::EngineJoined(engine_description(number)), now);
    }
    let (mut decision, mut finish) = (EventTiming::default(), EventTiming::default());
    let (mut report, mut cache) = (EventTiming::default(), EventTiming::default());
    let mut sequence = 0;
    for round in 1..=ROUNDS {
        for program in 0..PROGRAMS {
            now = now + Duration::from_micros(700);
            let event = Event::CallReady(ready_call(program, round));
            let actions = decision.time(|| scheduler.handle(event, now));
            let Some((attempt, engine)) = first_dispatch(&actions) else { continue };
            let usage =
                Usage { prompt: Tokens(20_000), cached: Tokens(19_000), generated: Tokens(200) };
            now = now + Duration::from_micros(700);
            finish.time(|| scheduler.handle(Event::Finished { attempt, usage }, now));
            sequence += 1;
            let notice = cache_notice(&engine, sequence, program);
            cache.time(|| scheduler.handle(Event::Cache(notice), now));
        }
        for number in 0..ENGINES {
            let event = Event::EngineReport(load_report(number, now));
            report.time(|| scheduler.handle(event, now));
        }
    }
    let stats = scheduler.stats();
    println!(
        "{:<14} {:>12.2} {:>12.2} {:>12.2} {:>12.2} {:>10.1}",
        kind.name(),
        decision.mean_micros(),
        finish.mean_micros(),
        report.mean_micros(),
        cache.mean_micros(),
        stats.engines_examined as f64 / stats.decisions as f64,
    );
}

fn first_dispatch(actions: &[Action]) -> Option<(AttemptId, EngineId)> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { attempt, engine, .. } => Some((*attempt, engine.clone())),
        _ => None,
    })
}

fn model_id(number: usize) -> ModelId {
    ModelId::new(format!("model-{}", number % MODELS))
}

fn engine_id(number: usize) -> EngineId {
    EngineId::new(format!("engine-{number}"))
}

fn engine_description(number: usize) -> EngineDescription {
    EngineDescription {
        engine: engine_id(number),
        incarnation: Incarnation(1),
        zone: Zone::new("zone"),
        one_way_delay: Duration::from_millis(1),
        models: vec![model_id(number)],
        capacity: EngineCapacity {
            kv_tokens: Tokens(1_500_000),
            prefill_per_second: 30_000.0,
            step_base: Duration::from_millis(18),
            step_per_sequence: Duration::from_micros(50),
            max_batch: 256,
            transfer_per_second: 150_000.0,
            host_tokens: Tokens(5_000_000),
        },
    }
}

fn load_report(number: usize, at: Timestamp) -> EngineReport {
    EngineReport {
        engine: engine_id(number),
        incarnation: Incarnation(1),
        reported_at: at,
        running: 60 + (number % 30) as u32,
        waiting: 0,
        prefill_backlog: Tokens(number as u64 % 900),
        resident: Tokens(900_000),
        pinned: Tokens(500_000),
        models: vec![model_id(number)],
        draining: false,
    }
}

fn ready_call(program: u64, number: u32) -> ReadyCall {
    let program_id = ProgramId { group: GroupId(0), number: program };
    let history = 0..SEGMENTS + 2 * u64::from(number);
    ReadyCall {
        call: CallId { program: program_id, chain: ChainId(0), number },
        attempt: 1,
        model: model_id(program as usize),
        tenant: TenantId::new(format!("tenant-{}", program % 100)),
        history: history
            .map(|place| HistorySegment { hash: program * 1000 + place, tokens: Tokens(500) })
            .collect(),
        max_generated: Tokens(1000),
        attained_service: Duration::ZERO,
        depth: 0,
        weight: 100,
    }
}

fn cache_notice(engine: &EngineId, sequence: u64, program: u64) -> CacheNotice {
    CacheNotice {
        engine: engine.clone(),
        incarnation: Incarnation(1),
        sequence,
        program: ProgramId { group: GroupId(0), number: program },
        resident: Tokens(20_000),
    }
}
