//! A simulation of many gateways, one keeper and callers' programs in virtual time.
//!
//! A message takes a millisecond one way. Programs start at random times, each at one gateway, and send
//! their requests one after the other. A refused request is sent again at its retry time, a few times at
//! most; then its program fails.
#![allow(dead_code)] // Each test file uses only a part of this module.

pub mod oracle;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dahlia_limits::{
    Admission, DelayedRequest, KeeperAnswer, KeeperTerm, LimitCommand, LimitGateway, LimitKeeper,
    LimitReply, LimitSettings, ProgramKey, ProgramMeans, ProgramRequest, RateLimit, UsageReport,
    Verdict, VersionedLimit,
};
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, TenantId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const KEEPER: GroupId = GroupId(0);
/// One-way delay between two daemons.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// The delay after which a node asks again for the owner of a group.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// The time after which a node gives up a request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// The longest retry time that callers honour: a third of the time that they have left, which is four
/// seconds at first. A request waits as long at its gateway.
const MAX_HONOURED_RETRY: Duration = Duration::from_millis(1_300);
/// The time after which a new process knows how many gateways there are.
const GATEWAY_COUNT_DELAY: Duration = Duration::from_millis(300);
/// The time after which a daemon notices that others are unreachable.
const DETECTION_DELAY: Duration = Duration::from_millis(1_200);
/// The time after which a daemon notices that others are reachable again.
const HEALING_DELAY: Duration = Duration::from_millis(300);
/// A daemon updates its keeper again and again. The simulation only repeats the first update after a
/// second, which is the one that matters.
const SECOND_UPDATE_DELAY: Duration = Duration::from_millis(1_000);
/// How often callers try a request.
const MAX_TRIES: u32 = 3;
/// The window in seconds that the users' documentation counts requests in.
pub const WINDOW_S: f64 = 5.0;
/// A program is in time if it takes at most this multiple of its time without waits, plus
/// [`IN_TIME_EXTRA_S`].
const IN_TIME_FACTOR: f64 = 1.4;
const IN_TIME_EXTRA_S: f64 = 0.2;
/// The share of its worth that a program earns if it takes at most twice the time in which it is in time.
const LATE_WORTH_SHARE: f64 = 0.3;

/// How gateways decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Gateways report, and ask only while permits are scarce.
    Report,
    /// Gateways ask before each request.
    Ask,
    /// Each gateway enforces an equal share of the limit and sends no messages.
    Share,
}

/// Programs of a tenant that start in a period.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub from_s: f64,
    pub until_s: f64,
    pub programs_per_s: f64,
    /// Mean number of requests of a program.
    pub requests: u32,
    /// Milliseconds between two requests.
    pub gap_ms: u64,
    /// What a program earns if it ends in time.
    pub worth: f64,
}

/// A period in which some gateways cannot reach the keeper.
#[derive(Debug, Clone, Copy)]
pub struct Partition {
    pub from_s: f64,
    pub until_s: f64,
    /// The share of gateways that cannot.
    pub share: f64,
}

/// A restart of processes at once, which lose what they know of earlier requests.
#[derive(Debug, Clone, Copy)]
pub struct Restart {
    pub at_s: f64,
    /// Seconds until the gateways run again.
    pub down_s: f64,
    /// Seconds from then until there is a keeper.
    pub without_keeper_s: f64,
    /// The share of gateways that restart. If all do, so does the keeper.
    pub share: f64,
}

/// The configuration, load and faults of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub gateways: u32,
    pub policy: Policy,
    pub settings: LimitSettings,
    pub limit: RateLimit,
    pub loads: Vec<Load>,
    pub partitions: Vec<Partition>,
    /// When the keeper fails, and how long it takes until there is another one, which knows nothing.
    pub keeper_outages_s: Vec<(f64, f64)>,
    pub restart: Option<Restart>,
    /// The longest retry time that callers honour.
    pub max_honoured_retry: Duration,
    /// Whether gateways report to a new keeper what earlier keepers counted.
    pub reports_history: bool,
    /// Whether requests name their programs.
    pub names_programs: bool,
    /// When another limit takes effect, and that limit.
    pub limit_change: Option<(f64, RateLimit)>,
}

impl Scenario {
    pub fn new(seed: u64, per_second: f64, loads: Vec<Load>) -> Self {
        Self {
            seed,
            gateways: 73,
            policy: Policy::Report,
            settings: LimitSettings::default(),
            limit: limit(per_second, per_second),
            loads,
            partitions: Vec::new(),
            keeper_outages_s: Vec::new(),
            restart: None,
            max_honoured_retry: MAX_HONOURED_RETRY,
            reports_history: true,
            names_programs: true,
            limit_change: None,
        }
    }
}

pub fn limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit::new(per_second, burst).expect("a limit").expect("some")
}

/// The results of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The time in microseconds at which each request passed.
    pub passed_us: Vec<u64>,
    pub refused: usize,
    /// Refusals of a program's second request or a later one.
    pub refused_after_start: usize,
    /// Programs that fail at their second request or a later one.
    pub stranded: usize,
    /// Refusals at a time at which the limit's own window had room.
    pub refused_with_room: usize,
    /// The sum of what programs earned.
    pub earned: f64,
    /// The programs as their callers would run them if no request waited.
    pub offered: Vec<OfferedProgram>,
    /// Refused requests whose callers retried at the time that they were told.
    pub timely_retries: usize,
    /// How many of these retries passed.
    pub timely_retries_passed: usize,
    /// Requests that waited at their gateway for their turn.
    pub delayed: usize,
    pub programs: usize,
    /// Programs all of whose requests passed.
    pub completed: usize,
    pub messages: usize,
    /// Requests for which the keeper was asked.
    pub asked: usize,
}

/// A program as its caller would run it if no request waited.
#[derive(Debug, Clone)]
pub struct OfferedProgram {
    pub worth: f64,
    /// The time in microseconds of each request.
    pub requests_us: Vec<u64>,
}

impl Outcome {
    /// Returns the most requests that passed in any window of this length.
    pub fn max_in_window(&self, window_s: f64) -> usize {
        let window = (window_s * 1e6) as u64;
        let ends = self.passed_us.iter().enumerate();
        ends.map(|(last, at)| {
            let first = self.passed_us.partition_point(|earlier| earlier + window < *at);
            last + 1 - first
        })
        .max()
        .unwrap_or(0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    program: u64,
    number: u32,
    tries: u32,
    gateway: usize,
    is_timely_retry: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at its gateway.
    Arrives(Request),
    /// A gateway's question about a request arrives at the keeper.
    AskArrives(Request),
    /// The keeper's answer arrives: whether the request passes, the microseconds until it passes or may
    /// be retried, whether permits are scarce, and the keeper's term.
    Answer(Request, bool, u64, bool, u64),
    /// A gateway has waited long enough for the keeper's answer.
    AskTimesOut(Request),
    /// A request passes after a wait, counted by the keeper of this term if there was one.
    Passes(Request, Option<u64>),
    /// A gateway's reports are due.
    ReportIsDue(usize),
    /// A gateway's report, by its index, arrives at the keeper.
    ReportArrives(usize, usize),
    /// A report is acknowledged: the gateway, the sequence number, whether permits are scarce, and the
    /// keeper's term and what it knows of programs.
    Acknowledged(usize, u64, bool, u64, Option<ProgramMeans>),
    /// A gateway's report fails.
    ReportFails(usize),
    KeeperFails,
    NewKeeper,
    /// The keeper's daemon notices how many of a hundred gateways are unreachable.
    UnreachableShare(u32),
    GatewaysStop(RestartedGateways),
    GatewaysStart(RestartedGateways),
    GatewayCountKnown,
}

/// How many gateways restart, and how many microseconds that takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RestartedGateways {
    gateways: usize,
    down_us: u64,
}

impl Event {
    /// Returns the request that the event is about.
    fn request(&self) -> Option<Request> {
        match self {
            Self::Arrives(request)
            | Self::AskArrives(request)
            | Self::Answer(request, ..)
            | Self::AskTimesOut(request)
            | Self::Passes(request, _) => Some(*request),
            _ => None,
        }
    }

    fn gateway(&self) -> Option<usize> {
        match self {
            Self::ReportIsDue(gateway)
            | Self::ReportArrives(gateway, _)
            | Self::Acknowledged(gateway, ..)
            | Self::ReportFails(gateway) => Some(*gateway),
            other => other.request().map(|request| request.gateway),
        }
    }
}

struct Program {
    starts_at: Timestamp,
    requests: u32,
    gap: Duration,
    worth: f64,
}

impl Program {
    fn offered(&self) -> OfferedProgram {
        let at = |number: u32| self.starts_at.0 + u64::from(number) * self.gap.as_micros();
        OfferedProgram { worth: self.worth, requests_us: (0..self.requests).map(at).collect() }
    }

    /// Returns what the program earns if its last request passes at this time.
    fn earned(&self, last: Timestamp) -> f64 {
        let ideal_s = self.gap.as_secs_f64() * f64::from(self.requests);
        let in_time_s = ideal_s * IN_TIME_FACTOR + IN_TIME_EXTRA_S;
        let took_s = last.since(self.starts_at).as_secs_f64() + self.gap.as_secs_f64();
        match took_s / in_time_s {
            ratio if ratio <= 1.0 => self.worth,
            ratio if ratio <= 2.0 => self.worth * LATE_WORTH_SHARE,
            _ => 0.0,
        }
    }
}

/// A run of a scenario.
pub struct Simulation {
    scenario: Scenario,
    tenant: TenantId,
    /// None while there is no keeper.
    keeper: Option<LimitKeeper>,
    term: u64,
    gateways: Vec<LimitGateway>,
    /// The permits of each gateway and when they were updated, for [`Policy::Share`].
    share_buckets: Vec<(f64, Timestamp)>,
    /// All reports sent so far.
    reports: Vec<UsageReport>,
    programs: Vec<Program>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    /// Requests that the keeper or the gateway has admission.
    decided: std::collections::BTreeSet<Request>,
    /// Number of events scheduled so far, which orders events of the same time.
    events: u64,
    now: Timestamp,
    outcome: Outcome,
}

fn at(seconds: f64) -> Timestamp {
    Timestamp((seconds * 1e6) as u64)
}

impl Simulation {
    /// Runs a scenario to its end.
    pub fn run(scenario: Scenario) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let new_gateway = |number| {
            let settings = scenario.settings.clone();
            let mut gateway = LimitGateway::new(settings, DaemonId(number), Incarnation(1));
            gateway.set_gateway_count(scenario.gateways, Timestamp::ZERO);
            gateway
        };
        let mut simulation = Self {
            tenant: TenantId::new("oak"),
            // A keeper that started long ago, whose buckets are full.
            keeper: Some(LimitKeeper::new(
                LimitSettings { first_share: 1.0, ..scenario.settings.clone() },
                KeeperTerm(0),
                Timestamp::ZERO,
            )),
            term: 0,
            gateways: (0..scenario.gateways).map(new_gateway).collect(),
            share_buckets: vec![(f64::INFINITY, Timestamp::ZERO); scenario.gateways as usize],
            reports: Vec::new(),
            programs: Vec::new(),
            queue: BinaryHeap::new(),
            decided: Default::default(),
            events: 0,
            now: Timestamp::ZERO,
            outcome: Outcome::default(),
            scenario,
        };
        simulation
            .keeper
            .as_mut()
            .expect("it is there")
            .set_gateway_count(simulation.scenario.gateways as usize);
        simulation.schedule_events(&mut rng);
        while let Some(Reverse((now, _, event))) = simulation.queue.pop() {
            simulation.now = now;
            simulation.handle(event);
        }
        simulation.outcome
    }

    fn schedule_events(&mut self, rng: &mut ChaCha8Rng) {
        let loads = self.scenario.loads.clone();
        for load in loads {
            let mut time = load.from_s;
            loop {
                time -= rng.random::<f64>().max(1e-12).ln() / load.programs_per_s;
                if time >= load.until_s {
                    break;
                }
                let program = self.programs.len() as u64;
                let requests = rng.random_range(load.requests.div_ceil(2)..=load.requests * 3 / 2);
                let gap = Duration::from_millis(load.gap_ms);
                self.programs.push(Program {
                    starts_at: at(time),
                    requests,
                    gap,
                    worth: load.worth,
                });
                let gateway = rng.random_range(0..self.gateways.len());
                let request =
                    Request { program, number: 0, tries: 0, gateway, is_timely_retry: false };
                self.schedule(at(time), Event::Arrives(request));
            }
        }
        self.outcome.programs = self.programs.len();
        self.outcome.offered = self.programs.iter().map(Program::offered).collect();
        let interval = self.gateways[0].report_interval().as_micros();
        let end = self.scenario.loads.iter().map(|load| load.until_s).fold(0.0, f64::max) + 10.0;
        for gateway in 0..self.gateways.len() {
            let mut due = rng.random_range(0..interval);
            while due < (end * 1e6) as u64 {
                self.schedule(Timestamp(due), Event::ReportIsDue(gateway));
                due += interval;
            }
        }
        for (from_s, outage_s) in self.scenario.keeper_outages_s.clone() {
            self.schedule(at(from_s), Event::KeeperFails);
            self.schedule(at(from_s + outage_s), Event::NewKeeper);
        }
        for partition in self.scenario.partitions.clone() {
            let noticed = at(partition.from_s) + DETECTION_DELAY;
            self.schedule(noticed, Event::UnreachableShare((partition.share * 100.0) as u32));
            let healed = at(partition.until_s) + HEALING_DELAY;
            self.schedule(healed, Event::UnreachableShare(0));
            self.schedule(healed + SECOND_UPDATE_DELAY, Event::UnreachableShare(0));
        }
        if let Some(restart) = self.scenario.restart {
            self.schedule_restart(restart);
        }
    }

    fn schedule_restart(&mut self, restart: Restart) {
        let gateways = (restart.share * self.gateways.len() as f64).round() as usize;
        let down_us = at(restart.down_s).0;
        let (stops_at, starts_at) = (at(restart.at_s), at(restart.at_s + restart.down_s));
        self.schedule(stops_at, Event::GatewaysStop(RestartedGateways { gateways, down_us }));
        self.schedule(starts_at, Event::GatewaysStart(RestartedGateways { gateways, down_us }));
        self.schedule(starts_at + GATEWAY_COUNT_DELAY, Event::GatewayCountKnown);
        if gateways == self.gateways.len() {
            self.schedule(stops_at, Event::KeeperFails);
            self.schedule(
                at(restart.at_s + restart.down_s + restart.without_keeper_s),
                Event::NewKeeper,
            );
        }
    }

    /// Stops gateways. Messages in flight are lost. Callers retry as soon as their gateways run again.
    fn stop_gateways(&mut self, restart: RestartedGateways) {
        let restarts_at = self.now + Duration::from_micros(restart.down_us) + ONE_WAY_DELAY;
        let mut retried = std::collections::BTreeSet::new();
        for Reverse((time, number, event)) in std::mem::take(&mut self.queue) {
            let is_affected = event.gateway().is_some_and(|gateway| gateway < restart.gateways);
            let event = match event {
                event if !is_affected => event,
                Event::AskArrives(request) | Event::AskTimesOut(request)
                    if self.decided.contains(&request) =>
                {
                    continue;
                }
                Event::ReportIsDue(gateway) => Event::ReportIsDue(gateway),
                other => match other.request().filter(|request| retried.insert(*request)) {
                    Some(request) => Event::Arrives(request),
                    None => continue,
                },
            };
            let time = if is_affected { time.max(restarts_at) } else { time };
            self.queue.push(Reverse((time, number, event)));
        }
        self.decided.retain(|request| !retried.contains(request));
    }

    fn start_gateways(&mut self, restart: RestartedGateways) {
        for number in 0..restart.gateways {
            let incarnation = Incarnation(2);
            let settings = self.scenario.settings.clone();
            let gateway = LimitGateway::new(settings, DaemonId(number as u32), incarnation);
            self.gateways[number] = gateway.after_restart(self.now);
        }
    }

    fn schedule(&mut self, time: Timestamp, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((time, self.events, event)));
    }

    fn program_key(&self, request: Request) -> Option<ProgramKey> {
        self.scenario.names_programs.then_some(ProgramKey(request.program))
    }

    fn current_limit(&self) -> VersionedLimit {
        match self.scenario.limit_change {
            Some((from_s, limit)) if self.now >= at(from_s) => {
                VersionedLimit { generation: 2, limit }
            }
            _ => VersionedLimit { generation: 1, limit: self.scenario.limit },
        }
    }

    fn is_keeper_unreachable(&self, gateway: usize) -> bool {
        let position = gateway as f64 / self.gateways.len() as f64;
        let partitions = self.scenario.partitions.iter();
        let is_partitioned = partitions
            .filter(|partition| {
                at(partition.from_s) <= self.now && self.now < at(partition.until_s)
            })
            .any(|partition| position < partition.share);
        is_partitioned || self.keeper.is_none()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(request) => self.handle_arrival(request),
            Event::AskArrives(request) => {
                let (limit, program) = (self.current_limit(), self.program_key(request));
                let ask = self.gateways[request.gateway].question(
                    KEEPER,
                    &self.tenant,
                    limit,
                    program.map(|program| ProgramRequest { program, continues: false }),
                    MAX_HONOURED_RETRY,
                    self.now,
                );
                let Some(keeper) = &mut self.keeper else {
                    // The node asks again until there is an owner, or the gateway has admission.
                    if !self.decided.contains(&request) {
                        self.schedule(self.now + OWNER_RETRY_DELAY, Event::AskArrives(request));
                    }
                    return;
                };
                if self.decided.contains(&request) {
                    return;
                }
                let LimitReply::Answer { verdict, is_scarce, keeper } = keeper.serve(ask, self.now)
                else {
                    panic!("a question has an answer");
                };
                self.outcome.messages += 1;
                let (passes, wait) = match verdict {
                    Verdict::Pass { after } => (true, after.as_micros()),
                    Verdict::Refuse { retry_after } => (false, retry_after.as_micros()),
                };
                self.schedule(
                    self.now + ONE_WAY_DELAY,
                    Event::Answer(request, passes, wait, is_scarce, keeper.0),
                );
            }
            Event::Answer(request, passes, wait, is_scarce, term) => {
                if !self.decided.insert(request) {
                    return;
                }
                let verdict = match passes {
                    true => Verdict::Pass { after: Duration::from_micros(wait) },
                    false => Verdict::Refuse { retry_after: Duration::from_micros(wait) },
                };
                let program = self.program_key(request);
                let gateway = &mut self.gateways[request.gateway];
                let answer = KeeperAnswer { verdict, is_scarce, keeper: KeeperTerm(term) };
                let admission =
                    gateway.handle_answer(KEEPER, &self.tenant, program, answer, self.now);
                if self.gateways[request.gateway].is_report_due(KEEPER, self.now) {
                    self.schedule(self.now, Event::ReportIsDue(request.gateway));
                }
                match admission {
                    Admission::PassAfter(wait) if wait > Duration::ZERO => {
                        self.outcome.delayed += 1;
                        self.schedule(self.now + wait, Event::Passes(request, Some(term)));
                    }
                    other => self.apply(request, other),
                }
            }
            Event::AskTimesOut(request) => {
                if self.decided.insert(request) {
                    let (limit, program) = (self.current_limit(), self.program_key(request));
                    let gateway = &mut self.gateways[request.gateway];
                    let admission = gateway.admit_without_keeper(
                        KEEPER,
                        &self.tenant,
                        limit,
                        program,
                        self.now,
                    );
                    self.apply(request, admission);
                }
            }
            Event::Passes(request, counted_by) => {
                if let Some(term) = counted_by {
                    let program = self.program_key(request);
                    let delayed = DelayedRequest { counted_by: KeeperTerm(term), program };
                    let gateway = &mut self.gateways[request.gateway];
                    gateway.record_delayed(KEEPER, &self.tenant, delayed);
                }
                self.record_pass(request);
            }
            Event::ReportIsDue(gateway) => {
                for (_, mut report) in self.gateways[gateway].due_reports(self.now) {
                    if !self.scenario.reports_history {
                        report.usage.iter_mut().for_each(|usage| usage.past.clear());
                    }
                    self.outcome.messages += 1;
                    self.reports.push(report);
                    let number = self.reports.len() - 1;
                    if self.is_keeper_unreachable(gateway) && self.keeper.is_some() {
                        self.schedule(self.now + REPORT_TIMEOUT, Event::ReportFails(gateway));
                    } else {
                        self.schedule(
                            self.now + ONE_WAY_DELAY,
                            Event::ReportArrives(gateway, number),
                        );
                    }
                }
            }
            Event::ReportArrives(gateway, number) => {
                let report = self.reports[number].clone();
                let sequence = report.sequence;
                let Some(keeper) = &mut self.keeper else {
                    // The node asks again until there is an owner.
                    let retry = Event::ReportArrives(gateway, number);
                    self.schedule(self.now + OWNER_RETRY_DELAY, retry);
                    return;
                };
                let reply = keeper.serve(LimitCommand::Report(report), self.now);
                let LimitReply::Counted { scarce, keeper, means } = reply else {
                    panic!("it is counted")
                };
                self.outcome.messages += 1;
                let acknowledgement =
                    Event::Acknowledged(gateway, sequence, !scarce.is_empty(), keeper.0, means);
                self.schedule(self.now + ONE_WAY_DELAY, acknowledgement);
            }
            Event::Acknowledged(gateway, sequence, is_scarce, term, means) => {
                let scarce = if is_scarce { vec![self.tenant.clone()] } else { Vec::new() };
                let reply = LimitReply::Counted { scarce, keeper: KeeperTerm(term), means };
                self.gateways[gateway].handle_acknowledgement(KEEPER, sequence, &reply, self.now);
                if self.gateways[gateway].is_report_due(KEEPER, self.now) {
                    self.schedule(self.now, Event::ReportIsDue(gateway));
                }
            }
            Event::ReportFails(gateway) => self.gateways[gateway].mark_report_failed(KEEPER),
            Event::KeeperFails => self.keeper = None,
            Event::UnreachableShare(percent) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.set_unreachable_share(f64::from(percent) / 100.0, self.now);
                }
            }
            Event::GatewaysStop(restart) => self.stop_gateways(restart),
            Event::GatewaysStart(restart) => self.start_gateways(restart),
            Event::GatewayCountKnown => {
                let (gateways, now) = (self.scenario.gateways, self.now);
                self.gateways
                    .iter_mut()
                    .for_each(|gateway| gateway.set_gateway_count(gateways, now));
            }
            Event::NewKeeper => {
                self.term += 1;
                let settings = self.scenario.settings.clone();
                let mut keeper = LimitKeeper::new(settings, KeeperTerm(self.term), self.now);
                keeper.set_gateway_count(self.scenario.gateways as usize);
                self.keeper = Some(keeper);
            }
        }
    }

    fn handle_arrival(&mut self, request: Request) {
        let (limit, program) = (self.current_limit(), self.program_key(request));
        let now = self.now;
        let gateway = &mut self.gateways[request.gateway];
        let admission = match self.scenario.policy {
            Policy::Report => gateway.admit(KEEPER, &self.tenant, limit, program, now),
            Policy::Ask => Admission::Ask,
            Policy::Share => self.admit_by_share(request.gateway),
        };
        self.apply(request, admission);
    }

    /// Decides a request by a token bucket of an equal share of the limit.
    fn admit_by_share(&mut self, gateway: usize) -> Admission {
        let limit = self.current_limit().limit;
        let gateways = f64::from(self.scenario.gateways);
        let (permits, updated_at) = &mut self.share_buckets[gateway];
        let elapsed_s = self.now.since(*updated_at).as_secs_f64();
        let burst = (limit.burst() / gateways).max(1.0);
        *permits = (*permits + elapsed_s * limit.per_second() / gateways).min(burst);
        *updated_at = self.now;
        if *permits < 1.0 {
            let missing = (1.0 - *permits) * gateways / limit.per_second();
            return Admission::Refuse { retry_after: Duration::from_secs_f64(missing) };
        }
        *permits -= 1.0;
        Admission::Pass { report_now: false }
    }

    fn apply(&mut self, request: Request, admission: Admission) {
        match admission {
            Admission::Ask => {
                self.outcome.asked += 1;
                self.outcome.messages += 1;
                let program = self.program_key(request);
                let timeout = self.gateways[request.gateway].program_answer_timeout(
                    KEEPER,
                    &self.tenant,
                    program,
                    MAX_HONOURED_RETRY,
                    self.now,
                );
                if self.is_keeper_unreachable(request.gateway) {
                    self.schedule(self.now + timeout, Event::AskTimesOut(request));
                }
                if !self.is_keeper_unreachable(request.gateway) || self.keeper.is_none() {
                    self.schedule(self.now + ONE_WAY_DELAY, Event::AskArrives(request));
                }
            }
            Admission::Pass { report_now } => {
                if report_now {
                    self.schedule(self.now, Event::ReportIsDue(request.gateway));
                }
                self.record_pass(request);
            }
            Admission::PassAfter(wait) => {
                self.schedule(self.now + wait, Event::Passes(request, None))
            }
            Admission::Refuse { retry_after } => self.record_refusal(request, retry_after),
        }
    }

    fn record_pass(&mut self, request: Request) {
        self.outcome.passed_us.push(self.now.0);
        self.outcome.timely_retries_passed += usize::from(request.is_timely_retry);
        let program = &self.programs[request.program as usize];
        let number = request.number + 1;
        if number == program.requests {
            self.outcome.completed += 1;
            self.outcome.earned += program.earned(self.now);
            return;
        }
        let next = Request { number, tries: 0, is_timely_retry: false, ..request };
        self.schedule(self.now + program.gap, Event::Arrives(next));
    }

    /// Whether the limit's window has room for one more request without any tolerance.
    fn has_room(&self) -> bool {
        let limit = self.current_limit().limit;
        let from = self.now.0.saturating_sub((WINDOW_S * 1e6) as u64);
        let first = self.outcome.passed_us.partition_point(|passed| *passed <= from);
        let count = self.outcome.passed_us.len() - first;
        (count as f64) < limit.per_second() * WINDOW_S + limit.burst()
    }

    fn record_refusal(&mut self, request: Request, retry_after: Duration) {
        self.outcome.refused += 1;
        self.outcome.refused_after_start += usize::from(request.number > 0);
        self.outcome.refused_with_room += usize::from(self.has_room());
        if request.tries + 1 >= MAX_TRIES {
            self.outcome.stranded += usize::from(request.number > 0);
            return;
        }
        let is_timely_retry = retry_after <= self.scenario.max_honoured_retry;
        self.outcome.timely_retries += usize::from(is_timely_retry);
        let retry = Request { tries: request.tries + 1, is_timely_retry, ..request };
        self.schedule(
            self.now + retry_after.min(self.scenario.max_honoured_retry),
            Event::Arrives(retry),
        );
    }
}
