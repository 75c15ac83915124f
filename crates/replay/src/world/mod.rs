//! Virtual daemons, engines, services, callers and operators, in virtual time.
//!
//! Everything that happens follows from a trace and a seed. Daemons run the whole
//! [`dahlia_node::Node`]; the rest of a daemon (its tasks for attempts, its gateway) is played by
//! state machines that mirror `dahlia-daemon`.
//!
//! | module | job |
//! |---|---|
//! | `agenda` | what is due when, and for whom |
//! | `network` | latencies, cuts, loss, order |
//! | `settings` | settings of virtual daemons and engines |
//! | `daemon` | a daemon's life: node, tasks, start and end |
//! | `actions` | carrying out a node's actions |
//! | `attempt` | one attempt at its engine, as `dahlia-daemon` runs it |
//! | `calls` | requests to engines and their replies |
//! | `changes` | operators who change the configuration |
//! | `gateway` | callers' connections at a daemon |
//! | `answers` | text of answers at their owner |
//! | `engine` | an engine's life |
//! | `engine_requests` | what engines do about requests |
//! | `streams` | what an engine tells of attempts |
//! | `key_value` | the key-value service |
//! | `caller` | callers and operators |
//! | `caller_requests` | what callers send |
//! | `caller_replies` | what callers do about replies |
//! | `faults` | faults begin and end |
//! | `observe` | what was seen from outside |

mod actions;
mod agenda;
mod answers;
mod attempt;
mod caller;
mod caller_replies;
mod caller_requests;
mod calls;
mod changes;
mod daemon;
mod engine;
mod engine_requests;
mod faults;
mod gateway;
mod key_value;
mod network;
mod observe;
mod settings;
mod streams;

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Duration, ProgramId, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::switches::Switches;
use crate::trace::{Event, Trace, Work};

pub use faults::CRASH_WINDOW;
pub use observe::{CallName, CallerOutcome, Observation, Observations, Seen};

use agenda::{Agenda, Delivery, Target};
use caller::Caller;
use daemon::VirtualDaemon;
use engine::VirtualEngine;
use key_value::KeyValue;
use network::Network;
use settings::ORIGIN;

/// How often engines' inventories are looked at from outside.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the last fault everything has to have come to its end.
pub const PROGRESS_BOUND: Duration = Duration::from_secs(240);
/// How long after the last end the world is watched on.
const QUIET: Duration = Duration::from_secs(5);

/// One virtual run.
pub struct World {
    pub(crate) now: Timestamp,
    pub(crate) agenda: Agenda,
    pub(crate) random: ChaCha8Rng,
    pub(crate) trace: Trace,
    pub(crate) switches: Switches,
    pub(crate) network: Network,
    pub(crate) daemons: BTreeMap<DaemonId, VirtualDaemon>,
    pub(crate) engines: BTreeMap<u32, VirtualEngine>,
    pub(crate) key_value: KeyValue,
    pub(crate) callers: Vec<Caller>,
    /// Names of programs by their identifiers.
    pub(crate) programs: BTreeMap<ProgramId, String>,
    pub(crate) armed_crashes: Vec<faults::ArmedCrash>,
    pub(crate) seen: Observations,
    pub(crate) next_name: u64,
    /// Whether every call was asked for once more.
    is_audited: bool,
    /// When all was first found to have come to its end.
    quiet_since: Option<Timestamp>,
}

impl World {
    /// Sets everything up; nothing has run yet.
    pub fn new(trace: &Trace, seed: u64, switches: Switches) -> Self {
        let mut world = Self {
            now: ORIGIN,
            agenda: Agenda::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            network: Network::new(&trace.deployment),
            trace: trace.clone(),
            switches,
            daemons: BTreeMap::new(),
            engines: BTreeMap::new(),
            key_value: KeyValue::default(),
            callers: Vec::new(),
            programs: BTreeMap::new(),
            armed_crashes: Vec::new(),
            seen: Observations::new(ORIGIN),
            next_name: 0,
            is_audited: false,
            quiet_since: None,
        };
        world.start_engines();
        world.start_daemons();
        for index in 0..world.trace.events.len() {
            let at = ORIGIN + world.trace.events[index].at;
            world.agenda.push(at, Target::World, Delivery::TraceEvent(index));
        }
        world.agenda.push(ORIGIN, Target::World, Delivery::Sample);
        world
    }

    /// Runs to the end and gives what was seen.
    pub fn run(mut self) -> Observations {
        let deadline = ORIGIN + self.trace.faults_end() + PROGRESS_BOUND;
        while let Some((at, target, delivery)) = self.agenda.pop() {
            if at > deadline {
                break;
            }
            self.now = at;
            self.deliver(target, delivery);
            let quiet = self.quiet_since.is_some_and(|since| self.now.since(since) >= QUIET);
            if quiet {
                break;
            }
        }
        self.finish()
    }

    fn finish(mut self) -> Observations {
        self.note_unfinished();
        self.sample_engines();
        self.seen.end = self.now;
        self.seen
    }

    fn deliver(&mut self, target: Target, delivery: Delivery) {
        match target {
            Target::World => self.deliver_to_world(delivery),
            Target::Daemon(daemon, life) => self.deliver_to_daemon(daemon, life, delivery),
            Target::Engine(engine, life) => self.deliver_to_engine(engine, life, delivery),
        }
    }

    fn deliver_to_world(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::TraceEvent(index) => match self.trace.events[index].event.clone() {
                Event::Work(work) => self.begin_work(work),
                Event::Fault(fault) => self.begin_fault(&fault),
            },
            Delivery::FaultEnds(end) => self.end_fault(end),
            Delivery::Caller(index, message) => self.caller_message(index, message),
            Delivery::Sample => self.sample(),
            other => unreachable!("not for the world: {other:?}"),
        }
    }

    fn begin_work(&mut self, work: Work) {
        match work {
            Work::Program(script) => self.begin_program(script),
            Work::Raise { program, budget } => self.begin_raise(&program, budget),
            Work::Change { name, gateway } => self.begin_change(name, gateway),
            Work::Close { program } => self.begin_close(&program),
            Work::Repeat { program, chain, number, gateway } => {
                self.begin_repeat(&program, chain, number, gateway);
            }
        }
    }

    /// Looks at everything from outside, and whether all has come to its end.
    fn sample(&mut self) {
        self.sample_engines();
        let work_left = self.trace.events.iter().any(|timed| ORIGIN + timed.at > self.now);
        let faults_left = ORIGIN + self.trace.faults_end() > self.now;
        let over = !work_left && !faults_left && self.all_callers_done();
        if over && !self.is_audited {
            self.is_audited = true;
            self.audit();
        }
        let idle = over && self.all_callers_done() && self.seen.nothing_held();
        if !idle {
            self.quiet_since = None;
        } else if self.quiet_since.is_none() {
            self.quiet_since = Some(self.now);
        }
        self.agenda.push(self.now + SAMPLE_INTERVAL, Target::World, Delivery::Sample);
    }

    /// A name for a connection, a request or a stream; none is given twice.
    pub(crate) fn fresh_name(&mut self) -> u64 {
        self.next_name += 1;
        self.next_name
    }
}
