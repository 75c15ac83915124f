//! Where first turns go in a fleet of four zones: to the own zone while that delays nobody, and to
//! all zones during a burst of one zone's callers.
//!
//! The sizes are those of a deployment with 73 gateways and 44 model servers of eight slots; a turn
//! occupies a slot for 270 ms. Normal load fills 45 in 100 of the slots. A burst of one zone's
//! callers at 2.5 times the normal load is 1.1 times what that zone's own servers can serve, and
//! 0.6 of what all can.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: usize = 4;
const GATEWAYS: usize = 18;
const SERVERS: usize = 11;
const SLOTS: usize = 8;
const TURN_DURATION: Duration = Duration::from_millis(270);
/// The turns per second of one zone's callers that fill 45 in 100 of its servers' slots.
const NORMAL_TURNS_PER_S: f64 = 0.45 * (SERVERS * SLOTS) as f64 / 0.27;
/// The prompt that all programs share. It is short, so any server may read it.
const PROMPT: SharedPrompt = SharedPrompt { hash: 7, tokens: 512 };

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn zone(number: usize) -> Zone {
    Zone::new(format!("hall-{number}"))
}

fn gateway(number: usize) -> Backends {
    let mut backends =
        Backends::new(BackendSettings::default(), zone(number % ZONES), number as u64);
    for server in 0..ZONES * SERVERS {
        let record = BackendRecord {
            id: BackendId::new(format!("i-{server}"), 0),
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: zone(server % ZONES),
            slots: SLOTS as u32,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
            version: dahlia_backends::SoftwareVersion::default(),
        };
        backends.put(record, Timestamp(0));
    }
    backends
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    TurnStart { zone: usize },
    TurnEnd { server: usize, gateway: usize },
}

/// A turn in a server's queue.
#[derive(Debug, Clone, Copy)]
struct QueuedTurn {
    gateway: usize,
    sent: Timestamp,
}

#[derive(Default)]
struct Outcome {
    /// The milliseconds that turns of the first zone's callers, sent during the burst, waited for a
    /// slot.
    waits: Vec<f64>,
    in_own_zone: usize,
    sent: usize,
}

struct Fleet {
    gateways: Vec<Backends>,
    running: Vec<usize>,
    queues: Vec<VecDeque<QueuedTurn>>,
    event_queue: BinaryHeap<Reverse<(Timestamp, u64, SimulationEvent)>>,
    sequence: u64,
    random: ChaCha8Rng,
    outcome: Outcome,
    burst_factor: f64,
}

/// The burst lasts from the sixth second to the tenth.
fn is_burst(now: Timestamp) -> bool {
    (6_000_000..10_000_000).contains(&now.0)
}

impl Fleet {
    fn run(burst_factor: f64, seed: u64) -> Outcome {
        let mut fleet = Self {
            gateways: (0..ZONES * GATEWAYS).map(gateway).collect(),
            running: vec![0; ZONES * SERVERS],
            queues: vec![VecDeque::new(); ZONES * SERVERS],
            event_queue: BinaryHeap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
            burst_factor,
        };
        (0..ZONES)
            .for_each(|zone| fleet.schedule(Timestamp(0), SimulationEvent::TurnStart { zone }));
        while let Some(Reverse((now, _, event))) = fleet.event_queue.pop() {
            match event {
                SimulationEvent::TurnStart { zone } => fleet.send_turn(zone, now),
                SimulationEvent::TurnEnd { server, gateway } => {
                    fleet.end_turn(server, gateway, now)
                }
            }
        }
        fleet.outcome
    }

    fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((at, self.sequence, event)));
    }

    fn send_turn(&mut self, zone: usize, now: Timestamp) {
        let factor = if zone == 0 && is_burst(now) { self.burst_factor } else { 1.0 };
        let pause = -self.random.random::<f64>().max(1e-9).ln() / (NORMAL_TURNS_PER_S * factor);
        let next = now + Duration::from_secs_f64(pause);
        if next.0 < 12_000_000 {
            self.schedule(next, SimulationEvent::TurnStart { zone });
        }
        let gateway = self.random.random_range(0..GATEWAYS) * ZONES + zone;
        let affinity = Some(Affinity::SharedPrompt(PROMPT));
        let request = ChoiceRequest {
            service: &service(),
            affinity,
            preferred: None,
            tried: &[],
            size: None,
            version: None,
        };
        let Choice::Use { server, .. } = self.gateways[gateway].choose(&request, now) else {
            panic!("no server takes a turn");
        };
        let server: usize = server.id.name[2..].parse().expect("a number");
        self.outcome.sent += 1;
        self.outcome.in_own_zone += usize::from(server % ZONES == zone);
        let turn = QueuedTurn { gateway, sent: now };
        if self.running[server] < SLOTS {
            self.run_turn(server, turn, now);
        } else {
            self.queues[server].push_back(turn);
        }
    }

    fn run_turn(&mut self, server: usize, turn: QueuedTurn, now: Timestamp) {
        self.running[server] += 1;
        let waited = now.since(turn.sent);
        if turn.gateway.is_multiple_of(ZONES) && is_burst(turn.sent) {
            self.outcome.waits.push(waited.as_secs_f64() * 1e3);
        }
        let id = BackendId::new(format!("i-{server}"), 0);
        self.gateways[turn.gateway].record_response_time(&id, waited, now);
        self.schedule(
            now + TURN_DURATION,
            SimulationEvent::TurnEnd { server, gateway: turn.gateway },
        );
    }

    fn end_turn(&mut self, server: usize, gateway: usize, now: Timestamp) {
        let id = BackendId::new(format!("i-{server}"), 0);
        self.gateways[gateway].end_attempt(&id, AttemptEnd::Answered, now);
        self.running[server] -= 1;
        if let Some(next) = self.queues[server].pop_front() {
            self.run_turn(server, next, now);
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

#[test]
fn at_normal_load_most_first_turns_stay_in_their_zone() {
    let outcome = Fleet::run(1.0, 1);
    let in_own_zone = outcome.in_own_zone as f64 / outcome.sent as f64;
    eprintln!("in the own zone: {in_own_zone:.3}; mean wait {:.1} ms", mean(&outcome.waits));
    assert!(in_own_zone >= 0.7, "{in_own_zone}");
    assert!(mean(&outcome.waits) < 30.0);
}

#[test]
fn a_burst_of_one_zones_callers_is_spread_over_all_servers() {
    let waits: BTreeMap<u64, f64> =
        (0..3).map(|seed| (seed, mean(&Fleet::run(2.5, seed).waits))).collect();
    eprintln!("mean waits in the burst by seed: {waits:?}");
    // If servers of the own zone always came first, these would be 260, 369 and 277 ms.
    assert!(waits.values().all(|wait| *wait < 100.0), "{waits:?}");
}
