//! Simulates a fleet of gateways and model servers in virtual time, for incidents with cold
//! servers.
//!
//! A program has several turns. Each turn after the first prefers the server of the previous turn,
//! as recorded in the ledger. A server runs eight turns at once, queues some more, and refuses the
//! rest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, ColdLimit, Gateways, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ZONES: usize = 3;
pub const SERVERS: usize = 48;
pub const COLD_PER_S: f64 = 24.0;
pub const COLD_EXCESS: f64 = 1.5;
pub const COLD_SLACK: f64 = 5.0;
/// The maximum number of requests to a cold server in any second.
pub const MAX_COLD_PER_S: usize = (COLD_PER_S * COLD_EXCESS + COLD_SLACK) as usize;
pub const COLD_DURATION: Duration = Duration::from_millis(3_000);

const SLOTS: usize = 8;
const QUEUE_LENGTH: usize = 24;
const TURN_DURATION: Duration = Duration::from_millis(270);
/// The pause between an answer and the program's next turn.
const THINK_TIME: Duration = Duration::from_millis(120);
const TURNS_PER_PROGRAM: u32 = 5;
/// The number of turns per second that one server can handle.
const SERVER_TURNS_PER_S: f64 = SLOTS as f64 / 0.27;
/// Each gateway receives the discovery update of a server within this time.
const DISCOVERY_DELAY_MS: u64 = 300;
const PROMPT: SharedPrompt = SharedPrompt { hash: 7, tokens: 512 };
const MAX_TRIES: usize = 3;
const END: Timestamp = Timestamp(12_000_000);
/// When servers are lost, and when servers start.
pub const LOST_AT: Timestamp = Timestamp(2_000_000);
pub const START_AT: Timestamp = Timestamp(6_000_000);

/// How gateways limit their requests to cold servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdPolicy {
    /// No limit.
    Off,
    /// A few gateways have shares.
    Shares,
    /// Within a second, each gateway may send one request more than it has seen answered there.
    ByAnswers,
}

/// What happens to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incident {
    /// A zone is lost, and all its servers start again at the same moment.
    ZoneBack,
    /// One server is added.
    OneNew,
    /// All servers are replaced one by one.
    Release,
    /// All servers of a zone become cold within the same incarnation.
    TurnsCold,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub policy: ColdPolicy,
    pub incident: Incident,
    pub gateways: usize,
    /// The turns per second, as a share of what the remaining servers can handle.
    pub load: f64,
    /// The factor by which the load rises at [`START_AT`].
    pub burst: f64,
    /// The number of gateways that receive no discovery updates.
    pub uninformed: usize,
    /// The number of other gateways that each gateway does not know.
    pub unknown_gateways: usize,
    pub seed: u64,
}

#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// The maximum number of requests to one cold server in a second.
    pub max_cold_per_s: usize,
    pub requests: usize,
    pub refused: usize,
    /// The mean time that turns waited for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The requests at the busiest server divided by the mean, over the servers that are up at the
    /// end.
    pub busiest_to_mean: f64,
    /// The mean number of turns per second that a cold server received.
    pub cold_turns_per_s: f64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    ProgramStart,
    TurnStart { remaining: u32, last: Option<BackendId>, zone: usize },
    TurnEnd { server: BackendId, gateway: usize },
    ServerLost(BackendId),
    ServerStarted(BackendId),
    DiscoveryUpdate { gateway: usize, id: BackendId, listed: bool },
}

#[derive(Default)]
struct SimulatedServer {
    running: usize,
    queue: VecDeque<(usize, Timestamp)>,
    is_up: bool,
    cold_until: Timestamp,
    arrivals: Vec<Timestamp>,
    cold_arrivals: Vec<Timestamp>,
}

pub struct Fleet {
    scenario: Scenario,
    gateways: Vec<Backends>,
    servers: BTreeMap<BackendId, SimulatedServer>,
    /// For [`ColdPolicy::ByAnswers`]: each gateway's recent sends and its count of answers, by
    /// server.
    sent_and_answered: BTreeMap<(usize, BackendId), (VecDeque<Timestamp>, usize)>,
    event_queue: BinaryHeap<Reverse<(Timestamp, u64, SimulationEvent)>>,
    sequence: u64,
    random: ChaCha8Rng,
    outcome: Outcome,
    waits: Vec<f64>,
}

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn zone(number: usize) -> Zone {
    Zone::new(format!("hall-{number}"))
}

fn server_id(number: usize, born: u64) -> BackendId {
    BackendId::new(format!("i-{number}"), born)
}

fn zone_of(id: &BackendId) -> usize {
    id.name[2..].parse::<usize>().expect("a number") % ZONES
}

fn record(id: &BackendId, cold_for: Duration) -> BackendRecord {
    BackendRecord {
        id: id.clone(),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: zone(zone_of(id)),
        slots: SLOTS as u32,
        state: BackendState::Ready,
        cold_for,
        version: dahlia_backends::SoftwareVersion::default(),
    }
}

fn gateway(number: usize, scenario: &Scenario, random: &mut ChaCha8Rng) -> Backends {
    let settings = BackendSettings {
        cold_excess: COLD_EXCESS,
        cold_slack: COLD_SLACK,
        ..BackendSettings::default()
    };
    let mut backends = Backends::new(settings, zone(number % ZONES), number as u64);
    if scenario.policy == ColdPolicy::Shares {
        let limit = ColdLimit { lasts: COLD_DURATION, per_s: COLD_PER_S };
        backends.set_cold_limits(BTreeMap::from([(service(), limit)]));
        let mut known: BTreeSet<u64> = (0..scenario.gateways as u64).collect();
        for _ in 0..scenario.unknown_gateways {
            known.remove(&random.random_range(0..scenario.gateways as u64));
        }
        backends.set_gateways(Gateways::new(number as u64, known));
    }
    let records = (0..SERVERS).map(|server| record(&server_id(server, 1), Duration::ZERO));
    records.for_each(|record| backends.put(record, Timestamp(0)));
    backends
}

impl Fleet {
    pub fn run(scenario: Scenario) -> Outcome {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let gateways =
            (0..scenario.gateways).map(|number| gateway(number, &scenario, &mut random)).collect();
        let running_server = || SimulatedServer { is_up: true, ..SimulatedServer::default() };
        let mut fleet = Self {
            scenario,
            gateways,
            servers: (0..SERVERS).map(|server| (server_id(server, 1), running_server())).collect(),
            sent_and_answered: BTreeMap::new(),
            event_queue: BinaryHeap::new(),
            sequence: 0,
            random,
            outcome: Outcome::default(),
            waits: Vec::new(),
        };
        fleet.schedule(Timestamp(0), SimulationEvent::ProgramStart);
        fleet.schedule_incident();
        while let Some(Reverse((now, _, event))) = fleet.event_queue.pop() {
            fleet.handle(event, now);
        }
        fleet.into_outcome()
    }

    fn schedule_incident(&mut self) {
        match self.scenario.incident {
            Incident::ZoneBack => {
                for server in (0..SERVERS).filter(|server| server % ZONES == 0) {
                    self.schedule(LOST_AT, SimulationEvent::ServerLost(server_id(server, 1)));
                    self.schedule(START_AT, SimulationEvent::ServerStarted(server_id(server, 2)));
                }
            }
            Incident::OneNew => {
                self.schedule(START_AT, SimulationEvent::ServerStarted(server_id(SERVERS, 2)))
            }
            Incident::Release => {
                for server in 0..SERVERS {
                    let at = LOST_AT + Duration::from_millis(150 * server as u64);
                    self.schedule(
                        at,
                        SimulationEvent::ServerStarted(server_id(SERVERS + server, 2)),
                    );
                    let later = at + Duration::from_millis(400);
                    self.schedule(later, SimulationEvent::ServerLost(server_id(server, 1)));
                }
            }
            Incident::TurnsCold => {
                for server in (0..SERVERS).filter(|server| server % ZONES == 0) {
                    self.schedule(START_AT, SimulationEvent::ServerStarted(server_id(server, 1)));
                }
            }
        }
    }

    fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: SimulationEvent, now: Timestamp) {
        match event {
            SimulationEvent::ProgramStart => self.start_program(now),
            SimulationEvent::TurnStart { remaining, last, zone } => {
                self.start_turn(remaining, last, zone, now)
            }
            SimulationEvent::TurnEnd { server, gateway } => self.end_turn(&server, gateway, now),
            SimulationEvent::ServerLost(id) => self.announce(&id, false, now),
            SimulationEvent::ServerStarted(id) => {
                let state = self.servers.entry(id.clone()).or_default();
                state.is_up = true;
                state.cold_until = now + COLD_DURATION;
                self.announce(&id, true, now);
            }
            SimulationEvent::DiscoveryUpdate { gateway, id, listed: false } => {
                self.gateways[gateway].remove(&id, now);
            }
            SimulationEvent::DiscoveryUpdate { gateway, id, .. } => {
                let cold_for = self.servers[&id].cold_until.since(now);
                self.gateways[gateway].put(record(&id, cold_for), now);
            }
        }
    }

    fn announce(&mut self, id: &BackendId, listed: bool, now: Timestamp) {
        for gateway in 0..self.scenario.gateways - self.scenario.uninformed {
            let later = Duration::from_millis(self.random.random_range(0..DISCOVERY_DELAY_MS));
            let update = SimulationEvent::DiscoveryUpdate { gateway, id: id.clone(), listed };
            self.schedule(now + later, update);
        }
        if !listed && let Some(state) = self.servers.get_mut(id) {
            state.is_up = false;
        }
    }

    /// The number of servers, without those that are lost or added by the incident.
    fn remaining_servers(&self) -> f64 {
        match self.scenario.incident {
            Incident::ZoneBack | Incident::TurnsCold => (SERVERS - SERVERS / ZONES) as f64,
            Incident::OneNew | Incident::Release => SERVERS as f64,
        }
    }

    fn start_program(&mut self, now: Timestamp) {
        let burst = if now >= START_AT { self.scenario.burst } else { 1.0 };
        let turns = SERVER_TURNS_PER_S * self.remaining_servers() * self.scenario.load * burst;
        let pause =
            -self.random.random::<f64>().max(1e-9).ln() / (turns / f64::from(TURNS_PER_PROGRAM));
        let next = now + Duration::from_secs_f64(pause);
        if next < END {
            self.schedule(next, SimulationEvent::ProgramStart);
        }
        let zone = self.random.random_range(0..ZONES);
        self.schedule(
            now,
            SimulationEvent::TurnStart { remaining: TURNS_PER_PROGRAM, last: None, zone },
        );
    }

    fn start_turn(&mut self, remaining: u32, last: Option<BackendId>, zone: usize, now: Timestamp) {
        self.outcome.requests += 1;
        let in_zone = self.scenario.gateways / ZONES;
        let gateway = self.random.random_range(0..in_zone) * ZONES + zone;
        let closed = self.servers_closed_by_answers(gateway, now);
        let mut tried = closed.clone();
        let preferred = last.clone().filter(|last| !closed.contains(last));
        while tried.len() < closed.len() + MAX_TRIES {
            let request = ChoiceRequest {
                service: &service(),
                affinity: Some(Affinity::SharedPrompt(PROMPT)),
                preferred: preferred.as_ref(),
                tried: &tried,
                size: None,
                version: None,
            };
            let Choice::Use { server, .. } = self.gateways[gateway].choose(&request, now) else {
                break;
            };
            if self.deliver(&server.id, gateway, now) {
                if remaining > 1 && now < END {
                    let next = SimulationEvent::TurnStart {
                        remaining: remaining - 1,
                        last: Some(server.id),
                        zone,
                    };
                    self.schedule(now + TURN_DURATION + THINK_TIME, next);
                }
                return;
            }
            tried.push(server.id);
        }
        self.outcome.refused += 1;
    }

    /// Sends a turn to a server. Returns whether the server accepts it.
    fn deliver(&mut self, id: &BackendId, gateway: usize, now: Timestamp) -> bool {
        let state = self.servers.get_mut(id).expect("it was there once");
        if !state.is_up {
            self.gateways[gateway].end_attempt(id, AttemptEnd::Unreachable, now);
            return false;
        }
        state.arrivals.push(now);
        if now < state.cold_until {
            state.cold_arrivals.push(now);
        }
        if self.scenario.policy == ColdPolicy::ByAnswers {
            self.sent_and_answered.entry((gateway, id.clone())).or_default().0.push_back(now);
        }
        if state.running < SLOTS {
            self.run_turn(id, gateway, now, now);
        } else if state.queue.len() < QUEUE_LENGTH {
            state.queue.push_back((gateway, now));
        } else {
            self.gateways[gateway].end_attempt(id, AttemptEnd::Refused, now);
            return false;
        }
        true
    }

    fn run_turn(&mut self, id: &BackendId, gateway: usize, sent: Timestamp, now: Timestamp) {
        self.servers.get_mut(id).expect("it is there").running += 1;
        let waited = now.since(sent);
        self.waits.push(waited.as_secs_f64() * 1e3);
        self.gateways[gateway].record_response_time(id, waited, now);
        self.schedule(
            now + TURN_DURATION,
            SimulationEvent::TurnEnd { server: id.clone(), gateway },
        );
    }

    fn end_turn(&mut self, id: &BackendId, gateway: usize, now: Timestamp) {
        self.gateways[gateway].end_attempt(id, AttemptEnd::Answered, now);
        if let Some(counts) = self.sent_and_answered.get_mut(&(gateway, id.clone())) {
            counts.1 += 1;
        }
        let state = self.servers.get_mut(id).expect("it is there");
        state.running -= 1;
        if let Some((next, sent)) = state.queue.pop_front() {
            self.run_turn(id, next, sent, now);
        }
    }

    /// Returns the cold servers that have answered a gateway too rarely for another request.
    fn servers_closed_by_answers(&mut self, gateway: usize, now: Timestamp) -> Vec<BackendId> {
        if self.scenario.policy != ColdPolicy::ByAnswers {
            return Vec::new();
        }
        let cold = self.servers.iter().filter(|(_, state)| now < state.cold_until);
        let mut closed = Vec::new();
        for (id, _) in cold {
            let Some(counts) = self.sent_and_answered.get_mut(&(gateway, id.clone())) else {
                continue;
            };
            while counts.0.front().is_some_and(|sent| now.since(*sent) >= Duration::from_secs(1)) {
                counts.0.pop_front();
            }
            if counts.0.len() > counts.1 {
                closed.push(id.clone());
            }
        }
        closed
    }

    fn into_outcome(mut self) -> Outcome {
        let cold = self.servers.values().filter(|state| state.cold_until > Timestamp(0));
        let rate = |state: &SimulatedServer| {
            state.cold_arrivals.len() as f64 / COLD_DURATION.as_secs_f64()
        };
        let rates: Vec<f64> = cold.clone().map(rate).collect();
        self.outcome.cold_turns_per_s = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let most = cold.map(|state| max_per_second(&state.cold_arrivals));
        self.outcome.max_cold_per_s = most.max().unwrap_or(0);
        let late = START_AT + Duration::from_secs(1);
        let up = self.servers.values().filter(|state| state.is_up);
        let counts: Vec<usize> =
            up.map(|state| state.arrivals.iter().filter(|at| **at > late).count()).collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        self.outcome.busiest_to_mean = counts.iter().copied().max().unwrap_or(0) as f64 / mean;
        self.outcome.wait_ms = self.waits.iter().sum::<f64>() / self.waits.len().max(1) as f64;
        self.outcome
    }
}

/// Returns the maximum number of times within any second, whenever it begins.
pub fn max_per_second(times: &[Timestamp]) -> usize {
    let mut window_start = 0;
    let mut max_count = 0;
    for (index, time) in times.iter().enumerate() {
        while time.since(times[window_start]) >= Duration::from_secs(1) {
            window_start += 1;
        }
        max_count = max_count.max(index + 1 - window_start);
    }
    max_count
}
