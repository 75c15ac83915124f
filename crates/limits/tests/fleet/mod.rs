//! Many gateways, one keeper and callers' programs in virtual time.
//!
//! A message takes a millisecond one way. Programs begin at random moments, each at a gateway of its
//! own, and send their requests one after the other; a request that is refused comes back when it was
//! told to, a few times at most, and then its program fails.
#![allow(dead_code)] // Each test file uses its own part.

pub mod oracle;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dahlia_limits::{
    Admission, DelayedRequest, KeeperAnswer, KeeperTerm, LimitCommand, LimitGateway, LimitKeeper,
    LimitReply, LimitSettings, ProgramKey, RateLimit, UsageReport, Verdict, VersionedLimit,
};
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, TenantId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const KEEPER: GroupId = GroupId(0);
/// One way between two daemons.
const HOP: Duration = Duration::from_millis(1);
/// The pause after which a node asks for the owner of a group again.
const ASKED_AGAIN: Duration = Duration::from_millis(40);
/// A node gives a request up after this time.
const REPORT_LIMIT: Duration = Duration::from_millis(3_500);
/// Callers honour a time up to a third of what they have left, four seconds at first. As long does a
/// request wait at its gateway.
const HONOURED: Duration = Duration::from_millis(1_300);
/// A new process counts the others after this time.
const SHARERS_KNOWN_AFTER: Duration = Duration::from_millis(300);
/// A daemon notices after this time that others are out of reach, and that they are there again.
const NOTICED_AFTER: Duration = Duration::from_millis(1_200);
const HEALED_AFTER: Duration = Duration::from_millis(300);
/// It tells its keeper again and again; what matters is the first time after a second.
const LOOKED_AGAIN: Duration = Duration::from_millis(1_000);
/// How long callers of a program that was refused go on trying.
const TRIES: u32 = 3;
/// The window that the users' pages count requests in.
pub const WINDOW_S: f64 = 5.0;
/// A program is in time within so many times its time without waits, and this much more; it earns
/// a part of its worth within twice that.
const IN_TIME_FACTOR: f64 = 1.4;
const IN_TIME_MORE_S: f64 = 0.2;
const LATE_PART: f64 = 0.3;

/// How a gateway decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Reports, and asks only while permits are scarce.
    Report,
    /// Asks before each request.
    Ask,
    /// Keeps to an equal share of the limit, without a word to anybody.
    Share,
}

/// Programs of a tenant that begin in a time.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub from_s: f64,
    pub until_s: f64,
    pub programs_per_s: f64,
    /// Requests of a program, and milliseconds between two.
    pub requests: u32,
    pub gap_ms: u64,
    /// What a program earns that ends in time.
    pub worth: f64,
}

/// A time in which the keeper is out of reach of some gateways.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    pub from_s: f64,
    pub until_s: f64,
    /// The share of gateways.
    pub share: f64,
}

/// All processes end at once, so that nobody remembers what passed.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    pub at_s: f64,
    /// Until gateways are there again.
    pub down_s: f64,
    /// From then until there is a keeper.
    pub without_keeper_s: f64,
    /// The share of gateways that end; with all of them, the keeper does.
    pub share: f64,
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub gateways: u32,
    pub way: Way,
    pub settings: LimitSettings,
    pub limit: RateLimit,
    pub loads: Vec<Load>,
    pub cuts: Vec<Cut>,
    /// When a keeper dies, and how long it takes until another one is there, which knows nothing.
    pub new_keepers_s: Vec<(f64, f64)>,
    pub stop: Option<Stop>,
    /// The longest time to come back that callers honour.
    pub honours: Duration,
    /// Whether gateways tell a new keeper what others before it counted.
    pub tells: bool,
    /// Another limit from a moment on.
    pub change: Option<(f64, RateLimit)>,
}

impl Plan {
    pub fn new(seed: u64, per_second: f64, loads: Vec<Load>) -> Self {
        Self {
            seed,
            gateways: 73,
            way: Way::Report,
            settings: LimitSettings::default(),
            limit: limit(per_second, per_second),
            loads,
            cuts: Vec::new(),
            new_keepers_s: Vec::new(),
            stop: None,
            honours: HONOURED,
            tells: true,
            change: None,
        }
    }
}

pub fn limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit::new(per_second, burst).expect("a limit").expect("some")
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Microseconds at which each request passed.
    pub passed: Vec<u64>,
    pub refused: usize,
    /// Of these, at a program's second request or later.
    pub refused_later: usize,
    /// Refusals at a moment at which the limit's own window had room.
    pub refused_below: usize,
    /// What the programs earned that ended, and when each request would pass if none waited.
    pub earned: f64,
    pub offered: Vec<Offered>,
    /// Requests that came back when they were told to, and how many of them passed then.
    pub came_back: usize,
    pub passed_then: usize,
    /// Requests that waited at their gateway for their turn.
    pub waited: usize,
    pub programs: usize,
    /// Programs all of whose requests passed.
    pub whole: usize,
    pub messages: usize,
    /// Requests that waited for the keeper.
    pub asked: usize,
}

/// A program as its caller means it.
#[derive(Debug, Clone)]
pub struct Offered {
    pub worth: f64,
    /// Microseconds of each of its requests.
    pub requests: Vec<u64>,
}

impl Outcome {
    /// The most requests that passed in any time of so long.
    pub fn most_in(&self, window_s: f64) -> usize {
        let window = (window_s * 1e6) as u64;
        let ends = self.passed.iter().enumerate();
        ends.map(|(last, at)| {
            let first = self.passed.partition_point(|earlier| earlier + window < *at);
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
    came_back: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrives(Request),
    AskArrives(Request),
    Answer(Request, bool, u64, bool, u64),
    AskTimesOut(Request),
    Passes(Request, Option<u64>),
    Flush(usize),
    ReportArrives(usize, usize),
    Counted(usize, u64, bool, u64),
    ReportLost(usize),
    KeeperDies,
    NewKeeper,
    /// The keeper's daemon notices how many of a hundred gateways are out of reach.
    Unheard(u32),
    GatewaysEnd(Stopped),
    GatewaysBegin(Stopped),
    SharersKnown,
}

/// How many gateways end, and in how many microseconds they are there again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Stopped {
    gateways: usize,
    down: u64,
}

impl Happening {
    /// The request that waits for it.
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
            Self::Flush(gateway)
            | Self::ReportArrives(gateway, _)
            | Self::Counted(gateway, ..)
            | Self::ReportLost(gateway) => Some(*gateway),
            other => other.request().map(|request| request.gateway),
        }
    }
}

struct Program {
    begins: Timestamp,
    requests: u32,
    gap: Duration,
    worth: f64,
}

impl Program {
    fn offered(&self) -> Offered {
        let at = |number: u32| self.begins.0 + u64::from(number) * self.gap.as_micros();
        Offered { worth: self.worth, requests: (0..self.requests).map(at).collect() }
    }

    /// What it earns when its last request passes at a moment.
    fn earned(&self, last: Timestamp) -> f64 {
        let idle_s = self.gap.as_secs_f64() * f64::from(self.requests);
        let in_time_s = idle_s * IN_TIME_FACTOR + IN_TIME_MORE_S;
        let took_s = last.since(self.begins).as_secs_f64() + self.gap.as_secs_f64();
        match took_s / in_time_s {
            part if part <= 1.0 => self.worth,
            part if part <= 2.0 => self.worth * LATE_PART,
            _ => 0.0,
        }
    }
}

pub struct Fleet {
    plan: Plan,
    tenant: TenantId,
    /// None while there is none.
    keeper: Option<LimitKeeper>,
    term: u64,
    gateways: Vec<LimitGateway>,
    shares: Vec<(f64, Timestamp)>,
    reports: Vec<UsageReport>,
    programs: Vec<Program>,
    agenda: BinaryHeap<Reverse<(Timestamp, u64, Happening)>>,
    answered: std::collections::BTreeSet<Request>,
    steps: u64,
    now: Timestamp,
    outcome: Outcome,
}

fn at(seconds: f64) -> Timestamp {
    Timestamp((seconds * 1e6) as u64)
}

impl Fleet {
    pub fn run(plan: Plan) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let gateway = |number| {
            let settings = plan.settings.clone();
            let mut gateway = LimitGateway::new(settings, DaemonId(number), Incarnation(1));
            gateway.set_gateway_count(plan.gateways, Timestamp::ZERO);
            gateway
        };
        let mut fleet = Self {
            tenant: TenantId::new("oak"),
            // A keeper that has been there for long.
            keeper: Some(LimitKeeper::new(
                LimitSettings { first_share: 1.0, ..plan.settings.clone() },
                KeeperTerm(0),
                Timestamp::ZERO,
            )),
            term: 0,
            gateways: (0..plan.gateways).map(gateway).collect(),
            shares: vec![(f64::INFINITY, Timestamp::ZERO); plan.gateways as usize],
            reports: Vec::new(),
            programs: Vec::new(),
            agenda: BinaryHeap::new(),
            answered: Default::default(),
            steps: 0,
            now: Timestamp::ZERO,
            outcome: Outcome::default(),
            plan,
        };
        fleet.keeper.as_mut().expect("it is there").set_gateway_count(fleet.plan.gateways as usize);
        fleet.plan_ahead(&mut rng);
        while let Some(Reverse((now, _, happening))) = fleet.agenda.pop() {
            fleet.now = now;
            fleet.step(happening);
        }
        fleet.outcome
    }

    fn plan_ahead(&mut self, rng: &mut ChaCha8Rng) {
        let loads = self.plan.loads.clone();
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
                self.programs.push(Program { begins: at(time), requests, gap, worth: load.worth });
                let gateway = rng.random_range(0..self.gateways.len());
                let request = Request { program, number: 0, tries: 0, gateway, came_back: false };
                self.put(at(time), Happening::Arrives(request));
            }
        }
        self.outcome.programs = self.programs.len();
        self.outcome.offered = self.programs.iter().map(Program::offered).collect();
        let interval = self.gateways[0].report_interval().as_micros();
        let end = self.plan.loads.iter().map(|load| load.until_s).fold(0.0, f64::max) + 10.0;
        for gateway in 0..self.gateways.len() {
            let mut due = rng.random_range(0..interval);
            while due < (end * 1e6) as u64 {
                self.put(Timestamp(due), Happening::Flush(gateway));
                due += interval;
            }
        }
        for (moment, gap) in self.plan.new_keepers_s.clone() {
            self.put(at(moment), Happening::KeeperDies);
            self.put(at(moment + gap), Happening::NewKeeper);
        }
        for cut in self.plan.cuts.clone() {
            let noticed = at(cut.from_s) + NOTICED_AFTER;
            self.put(noticed, Happening::Unheard((cut.share * 100.0) as u32));
            let healed = at(cut.until_s) + HEALED_AFTER;
            self.put(healed, Happening::Unheard(0));
            self.put(healed + LOOKED_AGAIN, Happening::Unheard(0));
        }
        if let Some(stop) = self.plan.stop {
            self.plan_stop(stop);
        }
    }

    fn plan_stop(&mut self, stop: Stop) {
        let gateways = (stop.share * self.gateways.len() as f64).round() as usize;
        let down = at(stop.down_s).0;
        let (ends, begins) = (at(stop.at_s), at(stop.at_s + stop.down_s));
        self.put(ends, Happening::GatewaysEnd(Stopped { gateways, down }));
        self.put(begins, Happening::GatewaysBegin(Stopped { gateways, down }));
        self.put(begins + SHARERS_KNOWN_AFTER, Happening::SharersKnown);
        if gateways == self.gateways.len() {
            self.put(ends, Happening::KeeperDies);
            self.put(at(stop.at_s + stop.down_s + stop.without_keeper_s), Happening::NewKeeper);
        }
    }

    /// What was on its way is lost; callers come back at once when their gateways are there again.
    fn gateways_end(&mut self, stopped: Stopped) {
        let begin = self.now + Duration::from_micros(stopped.down) + HOP;
        let mut come_back = std::collections::BTreeSet::new();
        for Reverse((moment, step, happening)) in std::mem::take(&mut self.agenda) {
            let ends = happening.gateway().is_some_and(|gateway| gateway < stopped.gateways);
            let happening = match happening {
                happening if !ends => happening,
                Happening::AskArrives(request) | Happening::AskTimesOut(request)
                    if self.answered.contains(&request) =>
                {
                    continue;
                }
                Happening::Flush(gateway) => Happening::Flush(gateway),
                other => match other.request().filter(|request| come_back.insert(*request)) {
                    Some(request) => Happening::Arrives(request),
                    None => continue,
                },
            };
            let moment = if ends { moment.max(begin) } else { moment };
            self.agenda.push(Reverse((moment, step, happening)));
        }
        self.answered.retain(|request| !come_back.contains(request));
    }

    fn gateways_begin(&mut self, stopped: Stopped) {
        for number in 0..stopped.gateways {
            let life = Incarnation(2);
            let settings = self.plan.settings.clone();
            let gateway = LimitGateway::new(settings, DaemonId(number as u32), life);
            self.gateways[number] = gateway.after_restart(self.now);
        }
    }

    fn put(&mut self, moment: Timestamp, happening: Happening) {
        self.steps += 1;
        self.agenda.push(Reverse((moment, self.steps, happening)));
    }

    fn known(&self) -> VersionedLimit {
        match self.plan.change {
            Some((moment, limit)) if self.now >= at(moment) => {
                VersionedLimit { generation: 2, limit }
            }
            _ => VersionedLimit { generation: 1, limit: self.plan.limit },
        }
    }

    fn is_cut(&self, gateway: usize) -> bool {
        let place = gateway as f64 / self.gateways.len() as f64;
        let cuts = self.plan.cuts.iter();
        let is_cut = cuts
            .filter(|cut| at(cut.from_s) <= self.now && self.now < at(cut.until_s))
            .any(|cut| place < cut.share);
        is_cut || self.keeper.is_none()
    }

    fn step(&mut self, happening: Happening) {
        match happening {
            Happening::Arrives(request) => self.arrives(request),
            Happening::AskArrives(request) => {
                let (tenant, limit) = (self.tenant.clone(), self.known());
                let program = Some(ProgramKey(request.program));
                let ask = LimitCommand::Ask { tenant, limit, program, max_wait: HONOURED };
                let Some(keeper) = &mut self.keeper else {
                    // The node asks again until there is an owner, or the gateway has decided.
                    if !self.answered.contains(&request) {
                        self.put(self.now + ASKED_AGAIN, Happening::AskArrives(request));
                    }
                    return;
                };
                if self.answered.contains(&request) {
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
                self.put(
                    self.now + HOP,
                    Happening::Answer(request, passes, wait, is_scarce, keeper.0),
                );
            }
            Happening::Answer(request, passes, wait, is_scarce, term) => {
                if !self.answered.insert(request) {
                    return;
                }
                let verdict = match passes {
                    true => Verdict::Pass { after: Duration::from_micros(wait) },
                    false => Verdict::Refuse { retry_after: Duration::from_micros(wait) },
                };
                let gateway = &mut self.gateways[request.gateway];
                let answer = KeeperAnswer { verdict, is_scarce, keeper: KeeperTerm(term) };
                let program = Some(ProgramKey(request.program));
                let decided =
                    gateway.handle_answer(KEEPER, &self.tenant, program, answer, self.now);
                if self.gateways[request.gateway].is_report_due(KEEPER, self.now) {
                    self.put(self.now, Happening::Flush(request.gateway));
                }
                match decided {
                    Admission::PassAfter(wait) if wait > Duration::ZERO => {
                        self.outcome.waited += 1;
                        self.put(self.now + wait, Happening::Passes(request, Some(term)));
                    }
                    other => self.decided(request, other),
                }
            }
            Happening::AskTimesOut(request) => {
                if self.answered.insert(request) {
                    let (limit, program) = (self.known(), Some(ProgramKey(request.program)));
                    let gateway = &mut self.gateways[request.gateway];
                    let decided = gateway.admit_without_keeper(
                        KEEPER,
                        &self.tenant,
                        limit,
                        program,
                        self.now,
                    );
                    self.decided(request, decided);
                }
            }
            Happening::Passes(request, counted_by) => {
                if let Some(term) = counted_by {
                    let program = Some(ProgramKey(request.program));
                    let waited = DelayedRequest { counted_by: KeeperTerm(term), program };
                    let gateway = &mut self.gateways[request.gateway];
                    gateway.record_delayed(KEEPER, &self.tenant, waited);
                }
                self.passed(request);
            }
            Happening::Flush(gateway) => {
                for (_, mut report) in self.gateways[gateway].due_reports(self.now) {
                    if !self.plan.tells {
                        report.usage.iter_mut().for_each(|usage| usage.past.clear());
                    }
                    self.outcome.messages += 1;
                    self.reports.push(report);
                    let number = self.reports.len() - 1;
                    if self.is_cut(gateway) && self.keeper.is_some() {
                        self.put(self.now + REPORT_LIMIT, Happening::ReportLost(gateway));
                    } else {
                        self.put(self.now + HOP, Happening::ReportArrives(gateway, number));
                    }
                }
            }
            Happening::ReportArrives(gateway, number) => {
                let report = self.reports[number].clone();
                let counted = report.sequence;
                let Some(keeper) = &mut self.keeper else {
                    // The node asks again until there is an owner.
                    let again = Happening::ReportArrives(gateway, number);
                    self.put(self.now + ASKED_AGAIN, again);
                    return;
                };
                let reply = keeper.serve(LimitCommand::Report(report), self.now);
                let LimitReply::Counted { scarce, keeper } = reply else { panic!("it is counted") };
                self.outcome.messages += 1;
                let counted = Happening::Counted(gateway, counted, !scarce.is_empty(), keeper.0);
                self.put(self.now + HOP, counted);
            }
            Happening::Counted(gateway, number, is_scarce, term) => {
                let scarce = if is_scarce { vec![self.tenant.clone()] } else { Vec::new() };
                let reply = LimitReply::Counted { scarce, keeper: KeeperTerm(term) };
                self.gateways[gateway].handle_acknowledgement(KEEPER, number, &reply, self.now);
                if self.gateways[gateway].is_report_due(KEEPER, self.now) {
                    self.put(self.now, Happening::Flush(gateway));
                }
            }
            Happening::ReportLost(gateway) => self.gateways[gateway].mark_report_failed(KEEPER),
            Happening::KeeperDies => self.keeper = None,
            Happening::Unheard(percent) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.set_unreachable_share(f64::from(percent) / 100.0, self.now);
                }
            }
            Happening::GatewaysEnd(stopped) => self.gateways_end(stopped),
            Happening::GatewaysBegin(stopped) => self.gateways_begin(stopped),
            Happening::SharersKnown => {
                let (sharers, now) = (self.plan.gateways, self.now);
                self.gateways
                    .iter_mut()
                    .for_each(|gateway| gateway.set_gateway_count(sharers, now));
            }
            Happening::NewKeeper => {
                self.term += 1;
                let settings = self.plan.settings.clone();
                let mut keeper = LimitKeeper::new(settings, KeeperTerm(self.term), self.now);
                keeper.set_gateway_count(self.plan.gateways as usize);
                self.keeper = Some(keeper);
            }
        }
    }

    fn arrives(&mut self, request: Request) {
        let (limit, program) = (self.known(), Some(ProgramKey(request.program)));
        let now = self.now;
        let gateway = &mut self.gateways[request.gateway];
        let decided = match self.plan.way {
            Way::Report => gateway.admit(KEEPER, &self.tenant, limit, program, now),
            Way::Ask => Admission::Ask,
            Way::Share => self.admit_by_share(request.gateway),
        };
        self.decided(request, decided);
    }

    fn admit_by_share(&mut self, gateway: usize) -> Admission {
        let limit = self.known().limit;
        let sharers = f64::from(self.plan.gateways);
        let (level, since) = &mut self.shares[gateway];
        let passed = self.now.since(*since).as_secs_f64();
        let burst = (limit.burst() / sharers).max(1.0);
        *level = (*level + passed * limit.per_second() / sharers).min(burst);
        *since = self.now;
        if *level < 1.0 {
            let missing = (1.0 - *level) * sharers / limit.per_second();
            return Admission::Refuse { retry_after: Duration::from_secs_f64(missing) };
        }
        *level -= 1.0;
        Admission::Pass { report_now: false }
    }

    fn decided(&mut self, request: Request, decided: Admission) {
        match decided {
            Admission::Ask => {
                self.outcome.asked += 1;
                self.outcome.messages += 1;
                let patience =
                    self.gateways[request.gateway].answer_timeout(KEEPER, HONOURED, self.now);
                if self.is_cut(request.gateway) {
                    self.put(self.now + patience, Happening::AskTimesOut(request));
                }
                if !self.is_cut(request.gateway) || self.keeper.is_none() {
                    self.put(self.now + HOP, Happening::AskArrives(request));
                }
            }
            Admission::Pass { report_now } => {
                if report_now {
                    self.put(self.now, Happening::Flush(request.gateway));
                }
                self.passed(request);
            }
            Admission::PassAfter(wait) => {
                self.put(self.now + wait, Happening::Passes(request, None))
            }
            Admission::Refuse { retry_after } => self.refused(request, retry_after),
        }
    }

    fn passed(&mut self, request: Request) {
        self.outcome.passed.push(self.now.0);
        self.outcome.passed_then += usize::from(request.came_back);
        let program = &self.programs[request.program as usize];
        let number = request.number + 1;
        if number == program.requests {
            self.outcome.whole += 1;
            self.outcome.earned += program.earned(self.now);
            return;
        }
        let next = Request { number, tries: 0, came_back: false, ..request };
        self.put(self.now + program.gap, Happening::Arrives(next));
    }

    /// Whether the limit's window, without any tolerance, has room for one more.
    fn has_room(&self) -> bool {
        let limit = self.known().limit;
        let from = self.now.0.saturating_sub((WINDOW_S * 1e6) as u64);
        let first = self.outcome.passed.partition_point(|passed| *passed <= from);
        let count = self.outcome.passed.len() - first;
        (count as f64) < limit.per_second() * WINDOW_S + limit.burst()
    }

    fn refused(&mut self, request: Request, retry_after: Duration) {
        self.outcome.refused += 1;
        self.outcome.refused_later += usize::from(request.number > 0);
        self.outcome.refused_below += usize::from(self.has_room());
        if request.tries + 1 >= TRIES {
            return;
        }
        let came_back = retry_after <= self.plan.honours;
        self.outcome.came_back += usize::from(came_back);
        let again = Request { tries: request.tries + 1, came_back, ..request };
        self.put(self.now + retry_after.min(self.plan.honours), Happening::Arrives(again));
    }
}
