//! Simulates turns of programs at model servers of several speeds, event by event, in virtual time.
//!
//! A server runs a fixed number of turns at once, and the rest wait. It reads the part of a prompt
//! that it does not hold, which delays all turns that run there, and evicts the least recently used
//! prompts when its memory is full.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, EngineCapacity, LoadView, ServerDigest, ServerLoad, ServiceName,
    SharedPrompt, TokenTimes, TurnSize,
};
use dahlia_types::{Duration, Timestamp, Tokens, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: usize = 4;
const SERVERS: usize = 44;
const GATEWAYS: usize = 52;
const SLOTS: u32 = 8;
const TOKENS_PER_EVENT: u64 = 13;
/// At a server of normal speed.
const TOKEN_MICROS: f64 = 2_500.0;
const READ_TOKENS_PER_MS: f64 = 100.0;
const SHARED_TOKENS: u64 = 512;
const NEW_TOKENS: u64 = 400;
const THINK_TIME: Duration = Duration::from_millis(60);
/// The round trip between a gateway and a server.
const ROUND_TRIP: Duration = Duration::from_millis(2);
const SLOW_PERIOD_MS: u64 = 600;
const SLOW_PERIOD_SHARE: f64 = 0.15;
const SLOW_PERIOD_FACTOR: f64 = 2.5;
/// A program is in time if it takes at most this multiple of its time at idle servers of normal
/// speed, plus a margin.
const DEADLINE_FACTOR: f64 = 1.4;
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How much older the oldest figures of a view are than most figures.
const VIEW_AGE_MARGIN_MS: u64 = 250;
const WAVE_PERIOD_S: f64 = 4.0;
const LOST_AT: Timestamp = Timestamp(5_000_000);
const FIRST_COUNTED: Timestamp = Timestamp(2_000_000);
const END: Timestamp = Timestamp(9_000_000);

/// How servers are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// By the gateway's own attempts.
    OwnAttempts,
    /// By the expected end, with token times of the gateway's own streams.
    OwnStreams,
    /// By the expected end, with the reports of other gateways as well.
    SharedView,
    /// Like [`Self::SharedView`], but always the server with the lowest cost.
    Greedy,
    /// By the true current state of all servers.
    Oracle,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub policy: Policy,
    /// The share of all slots that the load would occupy at idle servers.
    pub load: f64,
    pub slow_factor: f64,
    pub slow_periods: bool,
    pub view_delay_ms: u64,
    pub memory: u64,
    pub demand_waves: bool,
    pub loses_third: bool,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            policy: Policy::SharedView,
            load: 0.35,
            slow_factor: 2.5,
            slow_periods: true,
            view_delay_ms: 200,
            memory: 57_000,
            demand_waves: false,
            loses_third: false,
            seed: 1,
        }
    }
}

#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub programs: f64,
    pub late: f64,
    pub turn_ms: f64,
    pub turn_p95_ms: f64,
    pub wait_ms: f64,
    /// The share of prompt tokens that are read although another server held them.
    pub reread_share: f64,
    /// Turns that had to wait for memory.
    pub preempted: f64,
    /// The busy time of the busiest server, summed over its slots, divided by the mean.
    pub busiest_to_mean: f64,
}

impl Outcome {
    pub fn in_time(&self) -> f64 {
        1.0 - self.late / self.programs
    }
}

#[derive(Debug, Clone)]
struct Program {
    zone: usize,
    remaining_turns: u32,
    prompt: u64,
    last_server: Option<usize>,
    began: Timestamp,
    /// Its time at idle servers.
    ideal: Duration,
}

#[derive(Debug, Clone)]
struct Turn {
    program: usize,
    gateway: usize,
    server: usize,
    size: TurnSize,
    events: u64,
    sent_events: u64,
    sent: Timestamp,
    last_event: Timestamp,
    started: Timestamp,
    /// The server's prefill time when the turn's next event was scheduled.
    prefill_seen: Duration,
}

#[derive(Debug, Default)]
struct SimulatedServer {
    is_gone: bool,
    running: Vec<usize>,
    queue: VecDeque<usize>,
    /// The cached tokens of programs, the most recently used last.
    cached: VecDeque<(usize, u64)>,
    /// The total time spent on prefills.
    prefill_time: Duration,
    busy: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    ProgramStart,
    TurnStart(usize),
    TokenEvent(usize),
    ReportLoads,
    ViewArrival(usize),
    ServersLost,
}

struct Fleet {
    scenario: Scenario,
    gateways: Vec<Backends>,
    servers: Vec<SimulatedServer>,
    programs: Vec<Program>,
    turns: Vec<Turn>,
    reports: Vec<Vec<Vec<ServerLoad>>>,
    event_queue: BinaryHeap<Reverse<(Timestamp, u64, SimulationEvent)>>,
    sequence: u64,
    random: ChaCha8Rng,
    outcome: Outcome,
    prompt_tokens: u64,
    reread_tokens: u64,
    turn_times: Vec<f64>,
}

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn server_id(server: usize) -> BackendId {
    BackendId::new(format!("i-{server}"), 1)
}

fn server_number(id: &BackendId) -> usize {
    id.name[2..].parse().expect("a number")
}

fn zone(number: usize) -> Zone {
    Zone::new(format!("hall-{number}"))
}

fn gateway(number: usize, scenario: &Scenario) -> Backends {
    let settings = BackendSettings {
        by_expected_end: scenario.policy != Policy::OwnAttempts,
        near_end_share: match scenario.policy {
            Policy::Greedy => 0.0,
            _ => BackendSettings::default().near_end_share,
        },
        ..BackendSettings::default()
    };
    let mut backends = Backends::new(settings, zone(number % ZONES), 100 + number as u64);
    let engine = EngineCapacity { memory: Tokens(scenario.memory) };
    backends.set_engine_capacities(BTreeMap::from([(service(), engine)]));
    for server in 0..SERVERS {
        let record = BackendRecord {
            id: server_id(server),
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: zone(server % ZONES),
            slots: SLOTS,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
            version: dahlia_backends::SoftwareVersion::default(),
        };
        backends.put(record, Timestamp(0));
    }
    backends
}

fn add(one: Duration, other: Duration) -> Duration {
    Duration::from_micros(one.as_micros() + other.as_micros())
}

fn ideal_duration(uncached: u64, events: u64) -> Duration {
    let micros = uncached as f64 * 1e3 / READ_TOKENS_PER_MS;
    let micros = micros + (events * TOKENS_PER_EVENT) as f64 * TOKEN_MICROS;
    add(Duration::from_micros(micros as u64), ROUND_TRIP)
}

pub fn run(scenario: &Scenario) -> Outcome {
    let mut fleet = Fleet {
        scenario: *scenario,
        gateways: (0..GATEWAYS).map(|number| gateway(number, scenario)).collect(),
        servers: (0..SERVERS).map(|_| SimulatedServer::default()).collect(),
        programs: Vec::new(),
        turns: Vec::new(),
        reports: Vec::new(),
        event_queue: BinaryHeap::new(),
        sequence: 0,
        random: ChaCha8Rng::seed_from_u64(scenario.seed),
        outcome: Outcome::default(),
        prompt_tokens: 0,
        reread_tokens: 0,
        turn_times: Vec::new(),
    };
    fleet.schedule(Timestamp(0), SimulationEvent::ProgramStart);
    if matches!(scenario.policy, Policy::SharedView | Policy::Greedy) {
        fleet.schedule(Timestamp(0) + REPORT_INTERVAL, SimulationEvent::ReportLoads);
    }
    if scenario.loses_third {
        fleet.schedule(LOST_AT, SimulationEvent::ServersLost);
    }
    while let Some(Reverse((now, _, event))) = fleet.event_queue.pop() {
        match event {
            SimulationEvent::ProgramStart => fleet.start_program(now),
            SimulationEvent::TurnStart(program) => fleet.start_turn(program, now),
            SimulationEvent::TokenEvent(turn) => fleet.handle_token_event(turn, now),
            SimulationEvent::ReportLoads => fleet.report_loads(now),
            SimulationEvent::ViewArrival(round) => fleet.apply_views(round, now),
            SimulationEvent::ServersLost => fleet.lose_servers(now),
        }
    }
    fleet.into_outcome()
}

impl Fleet {
    fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((at, self.sequence, event)));
    }

    fn start_program(&mut self, now: Timestamp) {
        const MEAN_TURNS: f64 = 7.0;
        let mean_turn = ideal_duration(NEW_TOKENS + SHARED_TOKENS, 5).as_secs_f64();
        let per_s = self.scenario.load * (SERVERS as u32 * SLOTS) as f64 / mean_turn / MEAN_TURNS;
        let pause = -self.random.random::<f64>().max(1e-9).ln() / per_s;
        if now < END {
            self.schedule(now + Duration::from_secs_f64(pause), SimulationEvent::ProgramStart);
        }
        let program = Program {
            zone: self.zone_of_caller(now),
            remaining_turns: self.random.random_range(3..=11),
            prompt: SHARED_TOKENS,
            last_server: None,
            began: now,
            ideal: Duration::ZERO,
        };
        self.programs.push(program);
        self.schedule(now, SimulationEvent::TurnStart(self.programs.len() - 1));
    }

    fn zone_of_caller(&mut self, now: Timestamp) -> usize {
        let drawn = self.random.random_range(0..ZONES);
        let phase = now.0 as f64 / 1e6 / WAVE_PERIOD_S + drawn as f64 / ZONES as f64;
        let share = 0.5 + 0.45 * (phase * std::f64::consts::TAU).sin();
        let is_kept = !self.scenario.demand_waves || self.random.random::<f64>() < share;
        if is_kept { drawn } else { self.zone_of_caller(now) }
    }

    fn start_turn(&mut self, program: usize, now: Timestamp) {
        let events = self.random.random_range(2..=8);
        self.programs[program].prompt += NEW_TOKENS;
        let ideal = add(ideal_duration(NEW_TOKENS, events), THINK_TIME);
        self.programs[program].ideal = add(self.programs[program].ideal, ideal);
        // Callers' estimates are right in the median and often far off.
        let guess = [0.4, 0.7, 1.0, 1.4, 2.5][self.random.random_range(0..5)];
        let generated = Tokens(((events * TOKENS_PER_EVENT) as f64 * guess) as u64);
        let size = TurnSize { prompt: Tokens(self.programs[program].prompt), generated };
        self.send(program, size, events, now);
    }

    fn send(&mut self, program: usize, size: TurnSize, events: u64, now: Timestamp) {
        let Program { zone, last_server, .. } = self.programs[program];
        let gateway = self.random.random_range(0..GATEWAYS / ZONES) * ZONES + zone;
        let Some(server) = self.choose(gateway, program, last_server, size, now) else {
            // The program counts as late; a real caller would retry.
            self.programs[program].ideal = Duration::ZERO;
            return;
        };
        self.turns.push(Turn {
            program,
            gateway,
            server,
            size,
            events,
            sent_events: 0,
            sent: now,
            last_event: now,
            started: now,
            prefill_seen: Duration::ZERO,
        });
        let turn = self.turns.len() - 1;
        self.servers[server].queue.push_back(turn);
        self.start_waiting_turns(server, now);
    }

    fn choose(
        &mut self,
        gateway: usize,
        program: usize,
        last_server: Option<usize>,
        size: TurnSize,
        now: Timestamp,
    ) -> Option<usize> {
        if self.scenario.policy == Policy::Oracle {
            return (0..SERVERS).filter(|server| !self.servers[*server].is_gone).min_by(|a, b| {
                self.true_cost(*a, program, size, now)
                    .total_cmp(&self.true_cost(*b, program, size, now))
            });
        }
        let prompt = SharedPrompt { hash: program as u64 % 9, tokens: SHARED_TOKENS };
        let preferred = last_server.map(server_id);
        let request = ChoiceRequest {
            service: &service(),
            affinity: Some(match last_server {
                None => Affinity::SharedPrompt(prompt),
                Some(_) => Affinity::Program(program as u64),
            }),
            preferred: preferred.as_ref(),
            tried: &[],
            size: Some(size),
            version: None,
        };
        match self.gateways[gateway].choose(&request, now) {
            Choice::Use { server, .. } => Some(server_number(&server.id)),
            Choice::Full { .. } | Choice::NoBackend { .. } => None,
        }
    }

    fn true_cost(&self, server: usize, program: usize, size: TurnSize, now: Timestamp) -> f64 {
        let state = &self.servers[server];
        let answer = size.generated.0 as f64 * self.token_micros(server, now);
        let cached =
            state.cached.iter().find(|(cached, _)| *cached == program).map_or(0, |cached| cached.1);
        let prefill = size.prompt.0.saturating_sub(cached) as f64 * 1e3 / READ_TOKENS_PER_MS;
        let ahead = (state.running.len() + state.queue.len() + 1) as f64 - f64::from(SLOTS);
        let wait = ahead.max(0.0) / f64::from(SLOTS) * answer;
        let has_room = self.reserved_tokens(server) + size.total() <= self.scenario.memory;
        let beside = state.running.len() as f64;
        answer + wait + prefill * (1.0 + beside) + if has_room { 0.0 } else { 1e9 }
    }

    /// Returns the microseconds per token.
    fn token_micros(&self, server: usize, now: Timestamp) -> f64 {
        let window = now.0 / 1_000 / SLOW_PERIOD_MS;
        let seed = self.scenario.seed << 40 | (server as u64) << 20 | window;
        let is_slow_period = self.scenario.slow_periods
            && ChaCha8Rng::seed_from_u64(seed).random::<f64>() < SLOW_PERIOD_SHARE;
        let speed = if server % 3 == 2 { self.scenario.slow_factor } else { 1.0 };
        TOKEN_MICROS * speed * if is_slow_period { SLOW_PERIOD_FACTOR } else { 1.0 }
    }

    fn reserved_tokens(&self, server: usize) -> u64 {
        self.servers[server].running.iter().map(|turn| self.turns[*turn].size.total()).sum()
    }

    fn start_waiting_turns(&mut self, server: usize, now: Timestamp) {
        while self.servers[server].running.len() < SLOTS as usize {
            let Some(&turn) = self.servers[server].queue.front() else { return };
            let size = self.turns[turn].size;
            let is_alone = self.servers[server].running.is_empty();
            if !is_alone && self.reserved_tokens(server) + size.total() > self.scenario.memory {
                self.outcome.preempted += 1.0;
                return;
            }
            self.servers[server].queue.pop_front();
            self.run_turn(turn, now);
        }
    }

    fn run_turn(&mut self, turn: usize, now: Timestamp) {
        let Turn { program, server, size, sent, .. } = self.turns[turn];
        self.outcome.wait_ms += now.since(sent).as_secs_f64() * 1e3;
        let prompt = size.prompt.0;
        let state = &mut self.servers[server];
        let cached = state.cached.iter().position(|(cached, _)| *cached == program);
        let cached =
            cached.and_then(|index| state.cached.remove(index)).map_or(0, |cached| cached.1);
        let uncached = prompt.saturating_sub(cached);
        let is_new =
            if self.programs[program].last_server.is_none() { prompt } else { NEW_TOKENS + 40 };
        self.prompt_tokens += prompt;
        self.reread_tokens += uncached.saturating_sub(is_new);
        let prefill = Duration::from_secs_f64(uncached as f64 / READ_TOKENS_PER_MS / 1e3);
        state.prefill_time = add(state.prefill_time, prefill);
        state.running.push(turn);
        state.cached.push_back((program, prompt));
        self.evict(server);
        self.turns[turn].started = now;
        self.turns[turn].prefill_seen = self.servers[server].prefill_time;
        let first = Duration::from_micros(
            (TOKENS_PER_EVENT as f64 * self.token_micros(server, now)) as u64,
        );
        self.schedule(now + ROUND_TRIP + prefill + first, SimulationEvent::TokenEvent(turn));
    }

    fn evict(&mut self, server: usize) {
        let room = self.scenario.memory.saturating_sub(self.reserved_tokens(server));
        let state = &mut self.servers[server];
        while state.cached.iter().map(|cached| cached.1).sum::<u64>() > room {
            state.cached.pop_front();
        }
    }

    fn handle_token_event(&mut self, turn: usize, now: Timestamp) {
        let Turn { gateway, server, sent, last_event, sent_events, events, .. } = self.turns[turn];
        if self.servers[server].is_gone {
            return;
        }
        let read = self.servers[server].prefill_time;
        let stalled = read.as_micros() - self.turns[turn].prefill_seen.as_micros();
        self.turns[turn].prefill_seen = read;
        if stalled > 0 {
            return self
                .schedule(now + Duration::from_micros(stalled), SimulationEvent::TokenEvent(turn));
        }
        self.turns[turn].sent_events += 1;
        self.turns[turn].last_event = now;
        let backends = &mut self.gateways[gateway];
        if sent_events == 0 {
            backends.record_response_time(&server_id(server), now.since(sent), now);
        } else {
            let micros = now.since(last_event).as_micros() as u32;
            let times = TokenTimes { tokens: TOKENS_PER_EVENT as u32, micros };
            backends.record_token_times(&server_id(server), times, now);
        }
        if sent_events + 1 == events {
            return self.end_turn(turn, now);
        }
        let next = TOKENS_PER_EVENT as f64 * self.token_micros(server, now);
        self.schedule(now + Duration::from_micros(next as u64), SimulationEvent::TokenEvent(turn));
    }

    fn end_turn(&mut self, turn: usize, now: Timestamp) {
        let Turn { program, gateway, server, size, events, sent, started, .. } = self.turns[turn];
        self.gateways[gateway].end_turn(&server_id(server), size, AttemptEnd::Answered, now);
        let state = &mut self.servers[server];
        state.running.retain(|running| *running != turn);
        state.busy = add(state.busy, now.since(started));
        self.turn_times.push(now.since(sent).as_secs_f64() * 1e3);
        self.programs[program].prompt += events * TOKENS_PER_EVENT;
        self.programs[program].last_server = Some(server);
        self.programs[program].remaining_turns -= 1;
        match self.programs[program].remaining_turns {
            0 => self.end_program(program, now),
            _ => self.schedule(now + THINK_TIME, SimulationEvent::TurnStart(program)),
        }
        self.start_waiting_turns(server, now);
    }

    fn end_program(&mut self, program: usize, now: Timestamp) {
        let Program { began, ideal, .. } = self.programs[program];
        if began >= FIRST_COUNTED {
            let most = add(
                Duration::from_secs_f64(ideal.as_secs_f64() * DEADLINE_FACTOR),
                DEADLINE_MARGIN,
            );
            self.outcome.programs += 1.0;
            self.outcome.late += f64::from(now.since(began) > most);
        }
    }

    fn report_loads(&mut self, now: Timestamp) {
        let reports = self.gateways.iter_mut().map(|gateway| gateway.take_own_loads(now)).collect();
        self.reports.push(reports);
        let arrival = now + Duration::from_millis(self.scenario.view_delay_ms);
        self.schedule(arrival, SimulationEvent::ViewArrival(self.reports.len() - 1));
        if now < END {
            self.schedule(now + REPORT_INTERVAL, SimulationEvent::ReportLoads);
        }
    }

    fn apply_views(&mut self, round: usize, now: Timestamp) {
        let age = Duration::from_millis(self.scenario.view_delay_ms + VIEW_AGE_MARGIN_MS);
        for receiver in 0..GATEWAYS {
            let mut sum: BTreeMap<ServerDigest, ServerLoad> = BTreeMap::new();
            let others = self.reports[round].iter().enumerate();
            let others =
                others.filter(|(sender, _)| *sender != receiver).flat_map(|(_, loads)| loads);
            for load in others {
                let none =
                    ServerLoad { in_flight: 0, tokens: 0, times: TokenTimes::default(), ..*load };
                let sum = sum.entry(load.server).or_insert(none);
                sum.in_flight += load.in_flight;
                sum.tokens += load.tokens;
                sum.times.tokens += load.times.tokens;
                sum.times.micros += load.times.micros;
            }
            let range = ServerDigest(0)..=ServerDigest(u64::MAX);
            let view = LoadView { range, loads: sum.into_values().collect(), age };
            self.gateways[receiver].apply_load_view(&view, now);
        }
    }

    /// Removes a third of the servers. The turns that ran there start again.
    fn lose_servers(&mut self, now: Timestamp) {
        for server in (0..SERVERS).filter(|server| server % 3 == 0) {
            let state = &mut self.servers[server];
            state.is_gone = true;
            let lost: Vec<usize> = state.running.drain(..).chain(state.queue.drain(..)).collect();
            self.gateways.iter_mut().for_each(|gateway| gateway.remove(&server_id(server), now));
            for turn in lost {
                let Turn { program, size, events, .. } = self.turns[turn];
                self.send(program, size, events, now);
            }
        }
    }

    fn into_outcome(mut self) -> Outcome {
        let busy = self.servers.iter().filter(|state| !state.is_gone);
        let busy: Vec<f64> = busy.map(|state| state.busy.as_secs_f64()).collect();
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        self.outcome.busiest_to_mean = busy.iter().copied().fold(0.0, f64::max) / mean;
        let turns = self.turn_times.len() as f64;
        self.outcome.wait_ms /= turns;
        self.outcome.turn_ms = self.turn_times.iter().sum::<f64>() / turns;
        self.turn_times.sort_by(f64::total_cmp);
        self.outcome.turn_p95_ms = self.turn_times[self.turn_times.len() * 95 / 100];
        self.outcome.reread_share = self.reread_tokens as f64 / self.prompt_tokens as f64;
        self.outcome
    }
}
