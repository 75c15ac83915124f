//! The virtual-time driver: programs, schedulers, engines and links between them.

mod callers;
mod copies;
mod engines;
mod event_queue;
mod network;
mod programs;
mod schedulers;

use std::collections::BTreeMap;

use dahlia_placement::{Event, PolicyKind, Scheduler};
use dahlia_types::{AttemptId, Duration, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use self::copies::PendingCopy;
use self::engines::EngineHost;
use self::event_queue::{EventQueue, SimulationEvent};
use self::network::Network;
use self::programs::ProgramRun;
use crate::metrics::{Outcome, RunResult};
use crate::workload::{Workload, generate};

/// The interval between two ticks of a scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// The model that all engines serve.
const MODEL: &str = "agent-70b/base@1";

/// The options of one run of a workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunOptions {
    /// The policy.
    pub policy: PolicyKind,
    /// Factor on the arrival rate.
    pub load: f64,
    /// The seed for programs, report losses and schedulers.
    pub seed: u64,
}

/// The state of one run.
struct Driver<'a> {
    workload: &'a Workload,
    now: Timestamp,
    queue: EventQueue,
    network: Network,
    random: ChaCha8Rng,
    schedulers: Vec<Scheduler>,
    engines: Vec<EngineHost>,
    programs: Vec<ProgramRun>,
    /// The number of programs that have not ended.
    running_programs: usize,
    /// The number of ended programs whose schedulers have not been notified yet.
    unreported_ends: usize,
    /// The engine to which each attempt was sent.
    engine_by_attempt: BTreeMap<AttemptId, usize>,
    copies: BTreeMap<AttemptId, PendingCopy>,
    result: RunResult,
}

/// Runs a workload once.
pub fn run_once(workload: &Workload, options: RunOptions) -> RunResult {
    let mut driver = Driver::new(workload, options);
    driver.start();
    driver.run();
    driver.finish()
}

impl<'a> Driver<'a> {
    fn new(workload: &'a Workload, options: RunOptions) -> Self {
        let scripts = generate(workload, options.load, options.seed);
        let owners = workload.deployment.schedulers;
        let programs: Vec<ProgramRun> = scripts
            .into_iter()
            .enumerate()
            .map(|(number, script)| ProgramRun::new(number, number % owners, script))
            .collect();
        let schedulers = (0..owners).map(|number| {
            let seed = options.seed.wrapping_mul(1000) + number as u64;
            Scheduler::new(workload.placement.clone(), options.policy, seed)
        });
        let engines = (0..workload.deployment.engines)
            .map(|number| EngineHost::new(workload, number, options.seed));
        Self {
            workload,
            now: Timestamp::ZERO,
            queue: EventQueue::default(),
            network: Network::new(&workload.deployment),
            random: ChaCha8Rng::seed_from_u64(options.seed ^ 0x5eed),
            schedulers: schedulers.collect(),
            engines: engines.collect(),
            running_programs: programs.len(),
            unreported_ends: 0,
            programs,
            engine_by_attempt: BTreeMap::new(),
            copies: BTreeMap::new(),
            result: RunResult::new(workload),
        }
    }

    fn start(&mut self) {
        for program in 0..self.programs.len() {
            let at = self.programs[program].script.arrives;
            self.queue.add(at, SimulationEvent::Arrive { program });
        }
        for index in 0..self.workload.faults.len() {
            let at = Duration::from_secs_f64(self.workload.faults[index].at_seconds);
            self.queue.add(Timestamp::ZERO + at, SimulationEvent::Fault { index });
        }
        for engine in 0..self.engines.len() {
            self.announce(engine, Duration::ZERO);
            // Report times are staggered, as they are on independent machines.
            let interval = self.report_interval().as_micros();
            let offset = interval * engine as u64 / self.engines.len() as u64;
            self.queue.add(Timestamp(offset), SimulationEvent::Report { engine });
        }
        self.queue.add(Timestamp::ZERO + TICK_INTERVAL, SimulationEvent::Tick);
    }

    fn run(&mut self) {
        let run = &self.workload.run;
        let end = Timestamp::ZERO + Duration::from_secs_f64(run.seconds + run.drain_seconds);
        while let Some((at, event)) = self.queue.next() {
            if at > end || self.is_over() {
                return;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn is_over(&self) -> bool {
        let released = |scheduler: &Scheduler| scheduler.stats().releases_unconfirmed == 0;
        self.running_programs == 0
            && self.unreported_ends == 0
            && self.schedulers.iter().all(released)
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive { program } => self.start_program(program),
            SimulationEvent::Issue { program, chain } => self.send_call(program, chain),
            SimulationEvent::Ready { program, chain } => self.handle_ready_call(program, chain),
            SimulationEvent::Command { engine, incarnation, command, from, purpose } => {
                self.handle_command(engine, incarnation, *command, from, purpose);
            }
            SimulationEvent::Wake { engine } => self.wake_engine(engine),
            SimulationEvent::Report { engine } => self.send_report(engine),
            SimulationEvent::Inventory { engine, scheduler } => {
                self.send_inventory(engine, scheduler)
            }
            SimulationEvent::Notify { scheduler, event } => {
                self.unreported_ends -= usize::from(matches!(*event, Event::ProgramClosed(_)));
                self.notify(scheduler, *event);
            }
            SimulationEvent::FirstToken { attempt } => self.record_first_token(attempt),
            SimulationEvent::Answer { attempt, usage } => self.handle_answer(attempt, usage),
            SimulationEvent::Refused { program, chain, retry_after } => {
                self.handle_refusal(program, chain, retry_after);
            }
            SimulationEvent::Expire { program } => self.end_program(program, Outcome::Abandoned),
            SimulationEvent::Fault { index } => self.inject_fault(index),
            SimulationEvent::StopDrainedEngine { engine, incarnation } => {
                self.stop_drained_engine(engine, incarnation)
            }
            SimulationEvent::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        for scheduler in 0..self.schedulers.len() {
            self.notify(scheduler, Event::Tick);
        }
        self.queue.add(self.now + TICK_INTERVAL, SimulationEvent::Tick);
    }

    fn finish(mut self) -> RunResult {
        for program in 0..self.programs.len() {
            self.end_program(program, Outcome::Unfinished);
        }
        let ended_before = self.now;
        for host in &mut self.engines {
            let still_held = host.finish(ended_before);
            self.result.still_held += still_held;
        }
        for engine in 0..self.engines.len() {
            for span in std::mem::take(&mut self.engines[engine].spans) {
                self.result.add_span(span);
            }
        }
        for scheduler in &self.schedulers {
            let stats = scheduler.stats();
            self.result.dispatched += stats.dispatched;
            self.result.fetches += stats.fetches;
            self.result.offloads += stats.pauses_offloaded;
            self.result.decisions += stats.decisions;
            self.result.engines_examined += stats.engines_examined;
        }
        self.result
    }

    fn report_interval(&self) -> Duration {
        Duration::from_secs_f64(self.workload.deployment.report_interval_ms / 1000.0)
    }
}
