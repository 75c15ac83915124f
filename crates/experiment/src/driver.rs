//! The virtual-time driver: programs, schedulers, engines and links between them.

mod agenda;
mod callers;
mod copies;
mod engines;
mod network;
mod programs;
mod schedulers;

use std::collections::BTreeMap;

use dahlia_placement::{Event, PolicyKind, Scheduler};
use dahlia_types::{AttemptId, Duration, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use self::agenda::{Agenda, Happening};
use self::copies::PendingCopy;
use self::engines::EngineHost;
use self::network::Network;
use self::programs::ProgramRun;
use crate::metrics::{Outcome, RunResult};
use crate::workload::{Workload, generate};

/// Time between two ticks of a scheduler.
const TICK: Duration = Duration::from_millis(250);
/// The model that all engines serve.
const MODEL: &str = "agent-70b/base@1";

/// What distinguishes one run of a workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunOptions {
    /// The policy.
    pub policy: PolicyKind,
    /// Factor on the arrival rate.
    pub load: f64,
    /// Seed of programs, losses and schedulers.
    pub seed: u64,
}

/// One run.
struct Driver<'a> {
    workload: &'a Workload,
    now: Timestamp,
    agenda: Agenda,
    network: Network,
    random: ChaCha8Rng,
    schedulers: Vec<Scheduler>,
    engines: Vec<EngineHost>,
    programs: Vec<ProgramRun>,
    /// Programs that have not ended.
    live: usize,
    /// Programs that have ended and whose schedulers do not know it yet.
    untold: usize,
    /// Where each attempt was sent.
    sent: BTreeMap<AttemptId, usize>,
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
            agenda: Agenda::default(),
            network: Network::new(&workload.deployment),
            random: ChaCha8Rng::seed_from_u64(options.seed ^ 0x5eed),
            schedulers: schedulers.collect(),
            engines: engines.collect(),
            live: programs.len(),
            untold: 0,
            programs,
            sent: BTreeMap::new(),
            copies: BTreeMap::new(),
            result: RunResult::new(workload),
        }
    }

    fn start(&mut self) {
        for program in 0..self.programs.len() {
            let at = self.programs[program].script.arrives;
            self.agenda.add(at, Happening::Arrive { program });
        }
        for index in 0..self.workload.faults.len() {
            let at = Duration::from_secs_f64(self.workload.faults[index].at_seconds);
            self.agenda.add(Timestamp::ZERO + at, Happening::Fault { index });
        }
        for engine in 0..self.engines.len() {
            self.announce(engine, Duration::ZERO);
            // Reports are staggered, as those of independent machines are.
            let interval = self.report_interval().as_micros();
            let offset = interval * engine as u64 / self.engines.len() as u64;
            self.agenda.add(Timestamp(offset), Happening::Report { engine });
        }
        self.agenda.add(Timestamp::ZERO + TICK, Happening::Tick);
    }

    fn run(&mut self) {
        let run = &self.workload.run;
        let end = Timestamp::ZERO + Duration::from_secs_f64(run.seconds + run.drain_seconds);
        while let Some((at, happening)) = self.agenda.next() {
            if at > end || self.is_over() {
                return;
            }
            self.now = at;
            self.happen(happening);
        }
    }

    fn is_over(&self) -> bool {
        let released = |scheduler: &Scheduler| scheduler.stats().releases_unconfirmed == 0;
        self.live == 0 && self.untold == 0 && self.schedulers.iter().all(released)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive { program } => self.arrive(program),
            Happening::Issue { program, chain } => self.issue(program, chain),
            Happening::Ready { program, chain } => self.ready(program, chain),
            Happening::Command { engine, incarnation, command, from, purpose } => {
                self.command(engine, incarnation, *command, from, purpose);
            }
            Happening::Wake { engine } => self.wake(engine),
            Happening::Report { engine } => self.report(engine),
            Happening::Inventory { engine, scheduler } => self.inventory(engine, scheduler),
            Happening::Tell { scheduler, event } => {
                self.untold -= usize::from(matches!(*event, Event::ProgramClosed(_)));
                self.tell(scheduler, *event);
            }
            Happening::FirstToken { attempt } => self.first_token(attempt),
            Happening::Answer { attempt, usage } => self.answer(attempt, usage),
            Happening::Refused { program, chain, retry_after } => {
                self.refused(program, chain, retry_after);
            }
            Happening::Expire { program } => self.end_program(program, Outcome::Abandoned),
            Happening::Fault { index } => self.fault(index),
            Happening::SwitchOff { engine, incarnation } => self.switch_off(engine, incarnation),
            Happening::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        for scheduler in 0..self.schedulers.len() {
            self.tell(scheduler, Event::Tick);
        }
        self.agenda.add(self.now + TICK, Happening::Tick);
    }

    fn finish(mut self) -> RunResult {
        for program in 0..self.programs.len() {
            self.end_program(program, Outcome::Unfinished);
        }
        let ended_before = self.now;
        for host in &mut self.engines {
            let still_held = host.close(ended_before);
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
