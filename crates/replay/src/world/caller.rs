//! Callers and operators: closed loops that retry through other gateways.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use dahlia_api::ApiError;
use dahlia_configuration::ChangeOutcome;
use dahlia_node::request::Request;
use dahlia_program::ProgramSpecification;
use dahlia_types::{
    CallId, ChainId, DaemonId, Duration, GroupId, ProgramId, TenantId, Timestamp, Tokens,
};
use rand::Rng;

use super::World;
use super::agenda::{Delivery, Target};
use super::network::Channel;
use super::observe::{CallerOutcome, Observation};
use super::settings::model;
use crate::trace::{EndOfProgram, ProgramScript};

/// A caller that heard nothing for so long asks another gateway.
const PATIENCE: Duration = Duration::from_secs(8);
/// Connecting to a gateway that does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// When a pipelined call is sent after the one before.
const PIPELINE_GAP: Duration = Duration::from_millis(15);

/// What comes to a caller.
#[derive(Debug, Clone)]
pub(crate) enum CallerMessage {
    Text {
        connection: u64,
        attempt: u32,
        offset: u64,
        text: String,
    },
    End {
        connection: u64,
    },
    Failed {
        connection: u64,
        error: ApiError,
    },
    /// What was asked is done.
    Done {
        connection: u64,
    },
    /// What became of a change of the configuration.
    Decided {
        connection: u64,
        verdict: ChangeOutcome,
    },
    /// The gateway takes no connections.
    Refused {
        connection: u64,
    },
    /// The connection broke.
    Broken {
        connection: u64,
    },
    /// A pause or the caller's patience is over.
    Timer {
        call: u32,
        step: u64,
    },
}

/// How far a caller is with one call or request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Sent, or about to be sent again.
    Open,
    /// It has its outcome.
    Ended,
}

/// One call or request of a caller.
#[derive(Debug)]
pub(crate) struct CallRun {
    pub(crate) step: Step,
    pub(crate) connection: Option<(u64, DaemonId)>,
    pub(crate) gateway: u32,
    /// The answer so far, and the attempt that it is of.
    pub(crate) text: String,
    pub(crate) attempt: u32,
    /// Whether the call is known to have its place.
    pub(crate) begun: bool,
    pub(crate) timer: u64,
    /// How often it was refused for now.
    pub(crate) refusals: u32,
    pub(crate) heard: Timestamp,
}

/// What a caller does.
#[derive(Debug)]
pub(crate) enum Doing {
    /// Issues the calls of one chain.
    Chain { chain: u32, turns: u32, next: u32, failures: u32, spawned: bool },
    /// Repeats one call.
    Repeat { call: CallId },
    /// Brings in a change of the configuration.
    Configure(Change),
    /// Creates a program, raises a budget or closes.
    Operate { request: Request, then: Then },
}

/// A change of the configuration that an operator wants.
#[derive(Debug, Clone)]
pub(crate) struct Change {
    pub(crate) name: String,
    /// Tells the document of this change from all others.
    pub(crate) open_calls: u32,
    /// The generation that it is made from.
    pub(crate) expected: u64,
    /// An earlier request of it had no answer.
    pub(crate) repeated: bool,
    /// How often it was made anew from a later generation.
    pub(crate) remade: u32,
}

/// What follows an operator's request.
#[derive(Debug, Clone)]
pub(crate) enum Then {
    /// The program's caller begins.
    Begin,
    /// Nothing.
    Nothing,
    /// The program is closed.
    Closed,
}

/// A caller or an operator.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) script: ProgramScript,
    pub(crate) program: ProgramId,
    pub(crate) doing: Doing,
    pub(crate) runs: BTreeMap<u32, CallRun>,
    pub(crate) done: bool,
}

/// Identifier of a program that a trace names.
pub(crate) fn program_id(script: &ProgramScript) -> ProgramId {
    let mut hasher = DefaultHasher::new();
    script.name.hash(&mut hasher);
    ProgramId { group: GroupId(script.group), number: hasher.finish() }
}

impl World {
    pub(crate) fn begin_program(&mut self, script: ProgramScript) {
        let program = program_id(&script);
        self.programs.insert(program, script.name.clone());
        self.seen.names.insert(program, script.name.clone());
        let (tenant, budget) = (script.tenant.clone(), script.budget);
        self.seen.note(self.now, Observation::Created { program, tenant, budget });
        let specification = ProgramSpecification {
            tenant: TenantId::new(script.tenant.clone()),
            model: model(),
            budget: Tokens(script.budget),
            idle_expiry: script.expiry,
        };
        let request = Request::Create { program, specification };
        self.operate(script, program, request, Then::Begin);
    }

    pub(crate) fn begin_raise(&mut self, name: &str, budget: u64) {
        let Some((script, program)) = self.script_of(name) else { return };
        self.seen.note(self.now, Observation::Raised { program, budget });
        let request = Request::RaiseBudget { program, total: Tokens(budget) };
        self.operate(script, program, request, Then::Nothing);
    }

    pub(crate) fn begin_close(&mut self, name: &str) {
        let Some((script, program)) = self.script_of(name) else { return };
        let request = Request::Close { program, tenant: None };
        self.operate(script, program, request, Then::Closed);
    }

    pub(crate) fn begin_repeat(&mut self, name: &str, chain: u32, number: u32, gateway: u32) {
        let Some((script, program)) = self.script_of(name) else { return };
        let call = CallId { program, chain: ChainId(chain), number };
        if !self.is_sent(call) {
            return;
        }
        self.repeat(script, call, gateway);
    }

    /// Sends a call once more, as another caller would who knows it.
    pub(crate) fn repeat(&mut self, script: ProgramScript, call: CallId, gateway: u32) {
        let doing = Doing::Repeat { call };
        let index = self.add_caller(script, call.program, doing);
        self.open_run(index, call.number, gateway);
    }

    /// Asks once more, at any gateway, for every call that ended: the answer has to be the same.
    pub(crate) fn audit(&mut self) {
        let mut ended = BTreeMap::new();
        for seen in &self.seen.seen {
            let Observation::Told { call, outcome, .. } = &seen.what else { continue };
            // One that did not run would be begun again.
            if !matches!(outcome, CallerOutcome::NotRun(_)) {
                ended.insert(*call, ());
            }
        }
        for call in ended.into_keys() {
            let script = self.callers.iter().find(|caller| caller.program == call.program);
            if let Some(script) = script.map(|caller| caller.script.clone()) {
                let gateway = self.random.random_range(1..=self.trace.deployment.daemons);
                self.repeat(script, call, gateway);
            }
        }
    }

    fn operate(&mut self, script: ProgramScript, program: ProgramId, request: Request, then: Then) {
        let gateway = script.gateway;
        let index = self.add_caller(script, program, Doing::Operate { request, then });
        self.open_run(index, 0, gateway);
    }

    pub(crate) fn add_caller(
        &mut self,
        script: ProgramScript,
        program: ProgramId,
        doing: Doing,
    ) -> usize {
        self.callers.push(Caller { script, program, doing, runs: BTreeMap::new(), done: false });
        self.callers.len() - 1
    }

    fn script_of(&self, name: &str) -> Option<(ProgramScript, ProgramId)> {
        let caller = self.callers.iter().find(|caller| caller.script.name == name)?;
        Some((caller.script.clone(), caller.program))
    }

    fn is_sent(&self, call: CallId) -> bool {
        let sent = |what: &Observation| matches!(what, Observation::Sent { call: sent, .. } if *sent == call);
        self.seen.seen.iter().any(|seen| sent(&seen.what))
    }

    pub(crate) fn all_callers_done(&self) -> bool {
        self.callers.iter().all(|caller| caller.done)
    }

    /// Begins a chain of calls.
    pub(crate) fn begin_chain(&mut self, script: ProgramScript, program: ProgramId, chain: u32) {
        let turns = if chain == 0 { script.turns } else { script.agent_turns };
        let doing = Doing::Chain { chain, turns, next: 1, failures: 0, spawned: false };
        let index = self.add_caller(script, program, doing);
        self.issue_next(index);
    }

    /// Sends the chain's next call, or ends the chain.
    pub(crate) fn issue_next(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if caller.done {
            return;
        }
        let Doing::Chain { turns, next, .. } = &mut caller.doing else { return };
        if *next > *turns {
            self.chain_done(index);
            return;
        }
        let number = *next;
        *next += 1;
        let call = self.call_of(index, number);
        let messages = vec![self.new_message(index, number)];
        let once = self.is_once(index, number);
        self.seen.note(self.now, Observation::Sent { call, messages, once });
        let spread = if call.chain.0 == 0 { 0 } else { call.chain.0 };
        let gateway = self.callers[index].script.gateway + spread;
        self.open_run(index, number, gateway);
        if self.callers[index].script.pipelined && number < self.turns_of(index) {
            self.timer(index, 0, u64::from(number), PIPELINE_GAP);
        }
    }

    fn turns_of(&self, index: usize) -> u32 {
        match self.callers[index].doing {
            Doing::Chain { turns, .. } => turns,
            Doing::Repeat { .. } | Doing::Operate { .. } | Doing::Configure(_) => 0,
        }
    }

    pub(crate) fn open_run(&mut self, index: usize, number: u32, gateway: u32) {
        let run = CallRun {
            step: Step::Open,
            connection: None,
            gateway,
            text: String::new(),
            attempt: 0,
            begun: false,
            timer: 0,
            refusals: 0,
            heard: self.now,
        };
        self.callers[index].runs.insert(number, run);
        self.connect(index, number);
    }

    /// Connects to the run's gateway and sends the request.
    pub(crate) fn connect(&mut self, index: usize, number: u32) {
        let daemons = self.trace.deployment.daemons.max(1);
        let name = self.fresh_name();
        let request = Box::new(self.request_of(index, number));
        if !matches!(self.callers[index].doing, Doing::Operate { .. } | Doing::Configure(_)) {
            let call = self.call_of(index, number);
            self.seen.note(self.now, Observation::Asked { call, caller: index });
        }
        let now = self.now;
        let Some(run) = self.callers[index].runs.get_mut(&number) else { return };
        let gateway = DaemonId((run.gateway.max(1) - 1) % daemons + 1);
        run.connection = Some((name, gateway));
        run.heard = now;
        let Some(daemon) = self.daemons.get(&gateway) else { return };
        let (zone, life) = (Some(daemon.zone), daemon.life);
        let channel = Channel::Named(name, false);
        let arrival = self.network.arrival(channel, None, zone, now, &mut self.random);
        let at = arrival.unwrap_or(now + CONNECT_TIMEOUT);
        if daemon.takes_callers() {
            let delivery = Delivery::Gateway { connection: name, caller: index, request };
            self.agenda.push(at, Target::Daemon(gateway, life), delivery);
        } else {
            let message = CallerMessage::Refused { connection: name };
            self.agenda.push(at, Target::World, Delivery::Caller(index, message));
        }
        self.run_timer(index, number, PATIENCE);
    }

    pub(crate) fn run_timer(&mut self, index: usize, number: u32, length: Duration) {
        let step = self.fresh_name();
        if let Some(run) = self.callers[index].runs.get_mut(&number) {
            run.timer = step;
        }
        self.timer(index, number, step, length);
    }

    /// Issues the chain's next call after a pause.
    pub(crate) fn pause_before(&mut self, index: usize, next: u32, pause: Duration) {
        self.timer(index, 0, u64::from(next) - 1, pause);
    }

    fn timer(&mut self, index: usize, call: u32, step: u64, length: Duration) {
        let message = CallerMessage::Timer { call, step };
        self.agenda.push(self.now + length, Target::World, Delivery::Caller(index, message));
    }

    /// Tries again after a short pause, at another gateway.
    pub(crate) fn try_elsewhere(&mut self, index: usize, number: u32) {
        self.leave_connection(index, number);
        let pause = Duration(self.random.random_range(50_000..600_000));
        if let Doing::Configure(change) = &mut self.callers[index].doing {
            // Whether the request left, and what came of it, is not known.
            change.repeated = true;
        }
        if let Some(run) = self.callers[index].runs.get_mut(&number) {
            run.gateway += 1;
        }
        self.run_timer(index, number, pause);
    }

    pub(crate) fn leave_connection(&mut self, index: usize, number: u32) {
        let Some(run) = self.callers[index].runs.get_mut(&number) else { return };
        let Some((connection, gateway)) = run.connection.take() else { return };
        let Some(daemon) = self.daemons.get(&gateway) else { return };
        let target = Target::Daemon(gateway, daemon.life);
        let latency = self.network.latency(None, Some(daemon.zone), self.now, &mut self.random);
        self.agenda.push(self.now + latency, target, Delivery::CallerGone { connection });
    }

    /// What a timer of a caller was for.
    pub(crate) fn caller_timer(&mut self, index: usize, number: u32, step: u64) {
        if number == 0 && matches!(self.callers[index].doing, Doing::Chain { .. }) {
            self.issue_pipelined(index, step);
            return;
        }
        let now = self.now;
        let Some(run) = self.callers[index].runs.get_mut(&number) else { return };
        if run.timer != step || run.step == Step::Ended {
            return;
        }
        if run.connection.is_none() {
            self.connect(index, number);
            return;
        }
        let silence = now.since(run.heard);
        if silence >= PATIENCE {
            self.try_elsewhere(index, number);
        } else {
            self.run_timer(index, number, Duration(PATIENCE.0 - silence.0));
        }
    }

    fn issue_pipelined(&mut self, index: usize, after: u64) {
        if let Doing::Chain { next, .. } = self.callers[index].doing
            && u64::from(next) == after + 1
        {
            self.issue_next(index);
        }
    }

    fn chain_done(&mut self, index: usize) {
        self.callers[index].done = true;
        let script = self.callers[index].script.clone();
        let program = self.callers[index].program;
        let chains = |caller: &&Caller| {
            caller.program == program && matches!(caller.doing, Doing::Chain { .. })
        };
        let all_done = self.callers.iter().filter(chains).all(|caller| caller.done);
        if all_done && script.end == EndOfProgram::Close {
            let tenant = Some(TenantId::new(script.tenant.clone()));
            let request = Request::Close { program, tenant };
            self.operate(script, program, request, Then::Closed);
        }
    }

    /// A chain that cannot go on ends as if it were through.
    pub(crate) fn give_up(&mut self, index: usize) {
        if let Doing::Chain { turns, next, .. } = &mut self.callers[index].doing {
            *next = *turns + 1;
        }
        let open = self.callers[index].runs.values().any(|run| run.step == Step::Open);
        if !open && !self.callers[index].done {
            self.issue_next(index);
        }
    }

    /// Notes what never came to its end.
    pub(crate) fn note_unfinished(&mut self) {
        self.note_running();
        let now = self.now;
        let mut unfinished = Vec::new();
        for caller in self.callers.iter().filter(|caller| !caller.done) {
            let open: Vec<u32> = caller
                .runs
                .iter()
                .filter(|(_, run)| run.step == Step::Open)
                .map(|(number, _)| *number)
                .collect();
            let name = &caller.script.name;
            let what = match &caller.doing {
                Doing::Chain { chain, .. } => format!("{name}: chain {chain}, calls {open:?}"),
                Doing::Repeat { call } => format!("{name}: the repeat of {call}"),
                Doing::Operate { request, .. } => format!("{name}: {request:?}"),
                Doing::Configure(change) => format!("the change {}", change.name),
            };
            unfinished.push(what);
        }
        for what in unfinished {
            self.seen.note(now, Observation::Unfinished { what });
        }
    }
}
