//! Random schedules of workload and faults, each from its seed.

use dahlia_types::Duration;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Promise;
use crate::trace::{
    CrashPoint, Deployment, EndOfProgram, Event, Fault, ProgramScript, PromptForm, Subject, Timed,
    Trace, Work,
};
use crate::world::CRASH_WINDOW;

/// Workload begins once groups are laid out.
const WORK_BEGINS: u64 = 4_000;
/// Milliseconds over which programs begin.
const WORK_SPREAD: u64 = 6_000;
/// Milliseconds over which faults begin.
const FAULT_SPREAD: u64 = 12_000;

/// How many faults a schedule has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultCount {
    /// None: the workload alone.
    None,
    /// One.
    Single,
    /// Two at the same time or close together.
    Pair,
    /// The same one twice in a row.
    Twice,
    /// Three or four anywhere.
    Many,
}

impl FaultCount {
    /// The kind that a seed gets when all are wanted in turn.
    pub fn of_seed(seed: u64) -> Self {
        match seed % 8 {
            0 => Self::None,
            1 | 2 => Self::Single,
            3 | 4 => Self::Pair,
            5 => Self::Twice,
            _ => Self::Many,
        }
    }
}

/// Draws a schedule.
pub fn draw(seed: u64, count: FaultCount) -> Trace {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x7363_6865_6475_6c65);
    let deployment = draw_deployment(&mut random);
    let mut events = draw_work(&deployment, &mut random);
    events.extend(draw_faults(&deployment, count, &mut random));
    events.sort_by_key(|timed| timed.at);
    Trace {
        name: format!("schedule-{seed}"),
        promise: Promise::Progress,
        seed,
        seeds: 1,
        deployment,
        events,
        expectations: Vec::new(),
    }
}

fn draw_deployment(random: &mut ChaCha8Rng) -> Deployment {
    let noisy = random.random_bool(0.3);
    Deployment {
        daemons: random.random_range(5..=6),
        groups: random.random_range(1..=3),
        engines: random.random_range(2..=3),
        cache: *[4_000, 20_000].choose(random).unwrap_or(&20_000),
        batch: random.random_range(2..=8),
        loss: if noisy { 0.02 } else { 0.0 },
        duplicate: if noisy { 0.02 } else { 0.0 },
        reorder: if noisy { 0.05 } else { 0.0 },
        ..Deployment::default()
    }
}

fn draw_work(deployment: &Deployment, random: &mut ChaCha8Rng) -> Vec<Timed> {
    let mut events = Vec::new();
    let programs = random.random_range(2..=5);
    for number in 1..=programs {
        let at = WORK_BEGINS + random.random_range(0..WORK_SPREAD);
        let script = draw_program(number, deployment, random);
        let name = script.name.clone();
        push(&mut events, at, Event::Work(Work::Program(script)));
        let later = at + random.random_range(1_000..8_000);
        match random.random_range(0..10) {
            0 => push(&mut events, later, Event::Work(Work::Close { program: name.clone() })),
            1 => {
                let work = Work::Raise { program: name.clone(), budget: 200_000 };
                push(&mut events, later, Event::Work(work));
            }
            2..=4 => {
                let work = Work::Repeat {
                    program: name.clone(),
                    chain: 0,
                    number: random.random_range(1..=3),
                    gateway: random.random_range(1..=deployment.daemons),
                };
                push(&mut events, later, Event::Work(work));
            }
            _ => {}
        }
    }
    for number in 0..random.random_range(0..=3) {
        let at = WORK_BEGINS + random.random_range(0..FAULT_SPREAD);
        let gateway = random.random_range(1..=deployment.daemons);
        let work = Work::Change { name: format!("c{number}"), gateway };
        push(&mut events, at, Event::Work(work.clone()));
        if random.random_bool(0.3) {
            // Another operator at the same moment.
            let gateway = gateway % deployment.daemons + 1;
            let work = Work::Change { name: format!("r{number}"), gateway };
            push(&mut events, at, Event::Work(work));
        }
    }
    events
}

fn draw_program(number: u32, deployment: &Deployment, random: &mut ChaCha8Rng) -> ProgramScript {
    let ends =
        [EndOfProgram::Close, EndOfProgram::Close, EndOfProgram::Leave, EndOfProgram::Abandon];
    let loops = random.random_bool(0.15);
    ProgramScript {
        name: format!("p{number}"),
        tenant: format!("tenant-{}", number % 2),
        group: random.random_range(0..deployment.groups),
        budget: if loops { 1_500 } else { 100_000 },
        turns: if loops { 30 } else { random.random_range(2..=6) },
        prompt: random.random_range(20..=120),
        answer: random.random_range(5..=60),
        pause: Duration::from_millis(random.random_range(0..1_500)),
        gateway: random.random_range(1..=deployment.daemons),
        once: random.random_range(0..=3),
        agents: *[0, 0, 0, 1, 2].choose(random).unwrap_or(&0),
        hang: if random.random_bool(0.08) { 2 } else { 0 },
        pipelined: random.random_bool(0.2),
        form: if random.random_bool(0.2) { PromptForm::Whole } else { PromptForm::New },
        end: *ends.choose(random).unwrap_or(&EndOfProgram::Close),
        ..ProgramScript::default()
    }
}

fn draw_faults(deployment: &Deployment, count: FaultCount, random: &mut ChaCha8Rng) -> Vec<Timed> {
    let mut events = Vec::new();
    let first = WORK_BEGINS + random.random_range(0..FAULT_SPREAD);
    match count {
        FaultCount::None => {}
        FaultCount::Single => {
            let fault = draw_fault(deployment, random);
            push(&mut events, first, Event::Fault(fault));
        }
        FaultCount::Pair => {
            for _ in 0..2 {
                let at = first + random.random_range(0..1_500);
                let fault = draw_fault(deployment, random);
                push(&mut events, at, Event::Fault(fault));
            }
        }
        FaultCount::Twice => {
            let fault = draw_fault(deployment, random);
            push(&mut events, first, Event::Fault(fault.clone()));
            let again = first + fault.length().as_millis() + random.random_range(100..3_000);
            push(&mut events, again, Event::Fault(fault));
        }
        FaultCount::Many => {
            for _ in 0..random.random_range(3..=4) {
                let at = WORK_BEGINS + random.random_range(0..FAULT_SPREAD);
                let fault = draw_fault(deployment, random);
                push(&mut events, at, Event::Fault(fault));
            }
        }
    }
    limit_deaths(&mut events);
    events
}

/// Memory of three replicas survives one death at a time: a second daemon is killed only after
/// the first one's place has been taken. Freezes and cuts may come together with anything.
fn limit_deaths(events: &mut [Timed]) {
    /// Time in which a lost member of a group has been replaced.
    const REPLACED: Duration = Duration::from_secs(25);
    let is_death = |event: &Event| {
        matches!(
            event,
            Event::Fault(Fault::Kill { subject: Subject::Daemon(_) | Subject::OwnerOf(_), .. })
                | Event::Fault(Fault::Crash { .. })
                | Event::Fault(Fault::Stop { .. })
        )
    };
    events.sort_by_key(|timed| timed.at);
    let mut free_from = Duration::ZERO;
    for timed in events.iter_mut().filter(|timed| is_death(&timed.event)) {
        timed.at = timed.at.max(free_from);
        let waits = match timed.event {
            Event::Fault(Fault::Crash { .. }) => CRASH_WINDOW,
            _ => Duration::ZERO,
        };
        free_from = Duration(timed.at.0 + waits.0 + REPLACED.0);
    }
}

fn draw_fault(deployment: &Deployment, random: &mut ChaCha8Rng) -> Fault {
    let length = Duration::from_millis(random.random_range(300..9_000));
    let engine = random.random_range(1..=deployment.engines);
    let zone = deployment.zones.choose(random).cloned().unwrap_or_default();
    match random.random_range(0..20) {
        0 | 1 => Fault::Kill { subject: draw_daemon(deployment, random), length },
        2 | 3 => Fault::Freeze { subject: draw_daemon(deployment, random), length },
        4 => Fault::Kill { subject: Subject::Engine(engine), length },
        5 => Fault::Freeze { subject: Subject::Engine(engine), length: length.times(2) },
        6..=9 => {
            let (point, _) = CrashPoint::ALL[random.random_range(0..CrashPoint::ALL.len())];
            let skip = random.random_range(0..12);
            if random.random_bool(0.3) {
                Fault::Pause { point, skip, length }
            } else {
                Fault::Crash { point, skip, length }
            }
        }
        10 => Fault::Isolate { zone, length },
        11 => {
            let other = deployment.zones.iter().find(|other| **other != zone).cloned();
            Fault::Cut { from: zone, to: other.unwrap_or_default(), length }
        }
        12 => Fault::Slow { zone, by: Duration::from_millis(random.random_range(5..400)), length },
        13 if random.random_bool(0.3) => Fault::LostReply { count: random.random_range(1..4) },
        13 => Fault::Outage { length: length.times(3) },
        14 => Fault::Stale { length },
        15 => Fault::Leave { engine, length: length.times(2) },
        16 => Fault::Lag { engine, by: Duration::from_secs(2), length },
        17 => Fault::Crossed { engine, length },
        18 => match random.random_bool(0.5) {
            true => Fault::LoseReplies { engine, count: random.random_range(1..6) },
            false => Fault::Late { engine, by: Duration::from_millis(900), length },
        },
        _ => Fault::Stop { daemon: random.random_range(1..=deployment.daemons), length },
    }
}

fn draw_daemon(deployment: &Deployment, random: &mut ChaCha8Rng) -> Subject {
    if random.random_bool(0.6) {
        Subject::OwnerOf(random.random_range(0..deployment.groups))
    } else {
        Subject::Daemon(random.random_range(1..=deployment.daemons))
    }
}

fn push(events: &mut Vec<Timed>, millis: u64, event: Event) {
    events.push(Timed { at: Duration::from_millis(millis), event });
}
