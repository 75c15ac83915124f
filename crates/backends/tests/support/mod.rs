//! A fleet of gateways before model servers, in virtual time, for what happens when servers are cold.
//!
//! Programs take several turns; each but the first goes where the last one was, as the ledger tells. A
//! server works on eight turns at once, lets some wait, and refuses the rest.

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
pub const PER_S: f64 = 24.0;
pub const EXCESS: f64 = 1.5;
pub const SLACK: f64 = 5.0;
/// What a cold server may get in any second.
pub const MOST: usize = (PER_S * EXCESS + SLACK) as usize;
pub const COLD: Duration = Duration::from_millis(3_000);

const SLOTS: usize = 8;
const QUEUE: usize = 24;
const TURN: Duration = Duration::from_millis(270);
/// Between an answer and the program's next turn.
const THINK: Duration = Duration::from_millis(120);
const TURNS: u32 = 5;
/// Turns a second that one server can take.
const SERVER_PER_S: f64 = SLOTS as f64 / 0.27;
/// News of a server reach each gateway within this time.
const NEWS_MS: u64 = 300;
const PROMPT: SharedPrompt = SharedPrompt { hash: 7, tokens: 512 };
const MOST_TRIES: usize = 3;
const END: Timestamp = Timestamp(12_000_000);
/// When servers are lost, and when the news of them begin.
pub const LOST_AT: Timestamp = Timestamp(2_000_000);
pub const BACK_AT: Timestamp = Timestamp(6_000_000);

/// How gateways hold back from cold servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// They do not.
    Off,
    /// Few gateways have shares.
    Shares,
    /// Each may have one request more than it saw answered there in the second before.
    ByAnswers,
}

/// What happens to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A zone is lost, and all of it comes back at once.
    ZoneBack,
    /// One more server.
    OneNew,
    /// All are replaced, one by one.
    Release,
    /// All servers of a zone turn cold in the same life.
    TurnsCold,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub way: Way,
    pub event: Event,
    pub gateways: usize,
    /// Turns a second against what the servers that are left can take.
    pub load: f64,
    /// The load from [`BACK_AT`] on, as a multiple.
    pub burst: f64,
    /// Gateways that hear nothing of servers.
    pub blind: usize,
    /// Other gateways that each gateway does not know.
    pub unknown: usize,
    pub seed: u64,
}

#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// The most that one cold server got in a second.
    pub most: usize,
    pub asked: usize,
    pub refused: usize,
    /// Milliseconds that turns waited for a slot.
    pub wait_ms: f64,
    /// Busiest against mean server, over those that were there to the end.
    pub evenness: f64,
    /// Turns that cold servers took a second, each.
    pub cold_use: f64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Begins,
    Turn { left: u32, last: Option<BackendId>, zone: usize },
    Ends { server: BackendId, gateway: usize },
    Lose(BackendId),
    Start(BackendId),
    News { gateway: usize, id: BackendId, listed: bool },
}

#[derive(Default)]
struct Machine {
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
    machines: BTreeMap<BackendId, Machine>,
    /// For [`Way::ByAnswers`]: sends and answers of each gateway at each server.
    seen: BTreeMap<(usize, BackendId), (VecDeque<Timestamp>, usize)>,
    agenda: BinaryHeap<Reverse<(Timestamp, u64, Happening)>>,
    steps: u64,
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

fn id(number: usize, born: u64) -> BackendId {
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
    }
}

fn gateway(number: usize, scenario: &Scenario, random: &mut ChaCha8Rng) -> Backends {
    let settings =
        BackendSettings { cold_excess: EXCESS, cold_slack: SLACK, ..BackendSettings::default() };
    let mut backends = Backends::new(settings, zone(number % ZONES), number as u64);
    if scenario.way == Way::Shares {
        let limit = ColdLimit { lasts: COLD, per_s: PER_S };
        backends.set_cold_limits(BTreeMap::from([(service(), limit)]));
        let mut known: BTreeSet<u64> = (0..scenario.gateways as u64).collect();
        for _ in 0..scenario.unknown {
            known.remove(&random.random_range(0..scenario.gateways as u64));
        }
        backends.set_gateways(Gateways::new(number as u64, known));
    }
    let first = (0..SERVERS).map(|server| record(&id(server, 1), Duration::ZERO));
    first.for_each(|record| backends.put(record, Timestamp(0)));
    backends
}

impl Fleet {
    pub fn run(scenario: Scenario) -> Outcome {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let gateways =
            (0..scenario.gateways).map(|number| gateway(number, &scenario, &mut random)).collect();
        let up = || Machine { is_up: true, ..Machine::default() };
        let mut fleet = Self {
            scenario,
            gateways,
            machines: (0..SERVERS).map(|server| (id(server, 1), up())).collect(),
            seen: BTreeMap::new(),
            agenda: BinaryHeap::new(),
            steps: 0,
            random,
            outcome: Outcome::default(),
            waits: Vec::new(),
        };
        fleet.put(Timestamp(0), Happening::Begins);
        fleet.schedule();
        while let Some(Reverse((now, _, happening))) = fleet.agenda.pop() {
            fleet.happens(happening, now);
        }
        fleet.finish()
    }

    fn schedule(&mut self) {
        match self.scenario.event {
            Event::ZoneBack => {
                for server in (0..SERVERS).filter(|server| server % ZONES == 0) {
                    self.put(LOST_AT, Happening::Lose(id(server, 1)));
                    self.put(BACK_AT, Happening::Start(id(server, 2)));
                }
            }
            Event::OneNew => self.put(BACK_AT, Happening::Start(id(SERVERS, 2))),
            Event::Release => {
                for server in 0..SERVERS {
                    let at = LOST_AT + Duration::from_millis(150 * server as u64);
                    self.put(at, Happening::Start(id(SERVERS + server, 2)));
                    let later = at + Duration::from_millis(400);
                    self.put(later, Happening::Lose(id(server, 1)));
                }
            }
            Event::TurnsCold => {
                for server in (0..SERVERS).filter(|server| server % ZONES == 0) {
                    self.put(BACK_AT, Happening::Start(id(server, 1)));
                }
            }
        }
    }

    fn put(&mut self, at: Timestamp, happening: Happening) {
        self.steps += 1;
        self.agenda.push(Reverse((at, self.steps, happening)));
    }

    fn happens(&mut self, happening: Happening, now: Timestamp) {
        match happening {
            Happening::Begins => self.begins(now),
            Happening::Turn { left, last, zone } => self.turn(left, last, zone, now),
            Happening::Ends { server, gateway } => self.ends(&server, gateway, now),
            Happening::Lose(id) => self.news(&id, false, now),
            Happening::Start(id) => {
                let machine = self.machines.entry(id.clone()).or_default();
                machine.is_up = true;
                machine.cold_until = now + COLD;
                self.news(&id, true, now);
            }
            Happening::News { gateway, id, listed: false } => {
                self.gateways[gateway].remove(&id, now);
            }
            Happening::News { gateway, id, .. } => {
                let left = self.machines[&id].cold_until.since(now);
                self.gateways[gateway].put(record(&id, left), now);
            }
        }
    }

    fn news(&mut self, id: &BackendId, listed: bool, now: Timestamp) {
        for gateway in 0..self.scenario.gateways - self.scenario.blind {
            let later = Duration::from_millis(self.random.random_range(0..NEWS_MS));
            let news = Happening::News { gateway, id: id.clone(), listed };
            self.put(now + later, news);
        }
        if !listed && let Some(machine) = self.machines.get_mut(id) {
            machine.is_up = false;
        }
    }

    /// Servers that are there, but for those that come with the event.
    fn left(&self) -> f64 {
        match self.scenario.event {
            Event::ZoneBack | Event::TurnsCold => (SERVERS - SERVERS / ZONES) as f64,
            Event::OneNew | Event::Release => SERVERS as f64,
        }
    }

    fn begins(&mut self, now: Timestamp) {
        let burst = if now >= BACK_AT { self.scenario.burst } else { 1.0 };
        let turns = SERVER_PER_S * self.left() * self.scenario.load * burst;
        let pause = -self.random.random::<f64>().max(1e-9).ln() / (turns / f64::from(TURNS));
        let next = now + Duration::from_secs_f64(pause);
        if next < END {
            self.put(next, Happening::Begins);
        }
        let zone = self.random.random_range(0..ZONES);
        self.put(now, Happening::Turn { left: TURNS, last: None, zone });
    }

    fn turn(&mut self, left: u32, last: Option<BackendId>, zone: usize, now: Timestamp) {
        self.outcome.asked += 1;
        let in_zone = self.scenario.gateways / ZONES;
        let gateway = self.random.random_range(0..in_zone) * ZONES + zone;
        let closed = self.closed_by_answers(gateway, now);
        let mut tried = closed.clone();
        let kept = last.clone().filter(|last| !closed.contains(last));
        while tried.len() < closed.len() + MOST_TRIES {
            let ask = ChoiceRequest {
                service: &service(),
                affinity: Some(Affinity::SharedPrompt(PROMPT)),
                preferred: kept.as_ref(),
                tried: &tried,
                size: None,
            };
            let Choice::Use { server, .. } = self.gateways[gateway].choose(&ask, now) else {
                break;
            };
            if self.arrives(&server.id, gateway, now) {
                if left > 1 && now < END {
                    let next = Happening::Turn { left: left - 1, last: Some(server.id), zone };
                    self.put(now + TURN + THINK, next);
                }
                return;
            }
            tried.push(server.id);
        }
        self.outcome.refused += 1;
    }

    /// Whether a server takes a turn.
    fn arrives(&mut self, id: &BackendId, gateway: usize, now: Timestamp) -> bool {
        let machine = self.machines.get_mut(id).expect("it was there once");
        if !machine.is_up {
            self.gateways[gateway].end_attempt(id, AttemptEnd::Unreachable, now);
            return false;
        }
        machine.arrivals.push(now);
        if now < machine.cold_until {
            machine.cold_arrivals.push(now);
        }
        if self.scenario.way == Way::ByAnswers {
            self.seen.entry((gateway, id.clone())).or_default().0.push_back(now);
        }
        if machine.running < SLOTS {
            self.starts(id, gateway, now, now);
        } else if machine.queue.len() < QUEUE {
            machine.queue.push_back((gateway, now));
        } else {
            self.gateways[gateway].end_attempt(id, AttemptEnd::Refused, now);
            return false;
        }
        true
    }

    fn starts(&mut self, id: &BackendId, gateway: usize, sent: Timestamp, now: Timestamp) {
        self.machines.get_mut(id).expect("it is there").running += 1;
        let waited = now.since(sent);
        self.waits.push(waited.as_secs_f64() * 1e3);
        self.gateways[gateway].record_response_time(id, waited, now);
        self.put(now + TURN, Happening::Ends { server: id.clone(), gateway });
    }

    fn ends(&mut self, id: &BackendId, gateway: usize, now: Timestamp) {
        self.gateways[gateway].end_attempt(id, AttemptEnd::Answered, now);
        if let Some(seen) = self.seen.get_mut(&(gateway, id.clone())) {
            seen.1 += 1;
        }
        let machine = self.machines.get_mut(id).expect("it is there");
        machine.running -= 1;
        if let Some((next, sent)) = machine.queue.pop_front() {
            self.starts(id, next, sent, now);
        }
    }

    /// Cold servers at which a gateway saw too few answers to send another request.
    fn closed_by_answers(&mut self, gateway: usize, now: Timestamp) -> Vec<BackendId> {
        if self.scenario.way != Way::ByAnswers {
            return Vec::new();
        }
        let cold = self.machines.iter().filter(|(_, machine)| now < machine.cold_until);
        let mut closed = Vec::new();
        for (id, _) in cold {
            let Some(seen) = self.seen.get_mut(&(gateway, id.clone())) else { continue };
            while seen.0.front().is_some_and(|sent| now.since(*sent) >= Duration::from_secs(1)) {
                seen.0.pop_front();
            }
            if seen.0.len() > seen.1 {
                closed.push(id.clone());
            }
        }
        closed
    }

    fn finish(mut self) -> Outcome {
        let cold = self.machines.values().filter(|machine| machine.cold_until > Timestamp(0));
        let rate = |machine: &Machine| machine.cold_arrivals.len() as f64 / COLD.as_secs_f64();
        let rates: Vec<f64> = cold.clone().map(rate).collect();
        self.outcome.cold_use = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let most = cold.map(|machine| most_in_a_second(&machine.cold_arrivals));
        self.outcome.most = most.max().unwrap_or(0);
        let late = BACK_AT + Duration::from_secs(1);
        let up = self.machines.values().filter(|machine| machine.is_up);
        let counts: Vec<usize> =
            up.map(|machine| machine.arrivals.iter().filter(|at| **at > late).count()).collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        self.outcome.evenness = counts.iter().copied().max().unwrap_or(0) as f64 / mean;
        self.outcome.wait_ms = self.waits.iter().sum::<f64>() / self.waits.len().max(1) as f64;
        self.outcome
    }
}

/// The most moments in any second, whenever it begins.
pub fn most_in_a_second(at: &[Timestamp]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (place, moment) in at.iter().enumerate() {
        while moment.since(at[first]) >= Duration::from_secs(1) {
            first += 1;
        }
        most = most.max(place + 1 - first);
    }
    most
}
