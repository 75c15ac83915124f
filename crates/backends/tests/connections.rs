//! The number of connections that gateways open to servers, and how evenly servers are loaded.
//!
//! A site has three zones with 48 model servers of eight slots, and its programs fill 45 in 100 of
//! the slots, however many gateways share the load. A program has six turns of 270 ms; after the
//! first turn the ledger knows its server, and one turn in ten arrives by another zone. Connections
//! are reused; a new one is opened if none to that server is idle.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: usize = 3;
const SERVERS: usize = 48;
const SLOTS: u32 = 8;
const TURN_DURATION: Duration = Duration::from_millis(270);
const TURNS_PER_PROGRAM: usize = 6;
const SECONDS: f64 = 30.0;
const PROGRAMS_PER_S: f64 = 0.45 * SERVERS as f64 * SLOTS as f64 / 0.27 / TURNS_PER_PROGRAM as f64;
const PROMPT: Affinity = Affinity::SharedPrompt(SharedPrompt { hash: 7, tokens: 512 });
/// When a server is lost.
const LOST_AT: Timestamp = Timestamp(20_000_000);
const LOST_SERVER: usize = 0;

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn zone(number: usize) -> Zone {
    Zone::new(format!("zone-{}", number % ZONES))
}

fn record(number: usize, state: BackendState) -> BackendRecord {
    BackendRecord {
        id: BackendId::new(format!("i-{number}"), 0),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: zone(number),
        slots: SLOTS,
        state,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    }
}

fn gateway(number: usize) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), zone(number), number as u64);
    for server in 0..SERVERS {
        backends.put(record(server, BackendState::Ready), Timestamp(0));
    }
    backends
}

/// The results of a simulation.
#[derive(Debug, Clone)]
struct Outcome {
    requests: usize,
    new_connections: usize,
    /// Turns at each server before and after the loss.
    turns_before: Vec<usize>,
    turns_after: Vec<usize>,
}

impl Outcome {
    fn connections_per_request(&self) -> f64 {
        self.new_connections as f64 / self.requests as f64
    }

    fn busiest_to_mean(&self) -> f64 {
        let max = self.turns_before.iter().max().copied().unwrap_or_default();
        (max * SERVERS) as f64 / self.turns_before.iter().sum::<usize>() as f64
    }

    /// The same for the remaining servers in the lost server's zone.
    fn busiest_to_mean_in_lost_zone(&self) -> f64 {
        let remaining = (LOST_SERVER + ZONES..SERVERS).step_by(ZONES);
        let remaining: Vec<usize> = remaining.map(|server| self.turns_after[server]).collect();
        let max = remaining.iter().max().copied().unwrap_or_default();
        (max * remaining.len()) as f64 / remaining.iter().sum::<usize>() as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    TurnStart { gateway: usize, server: Option<usize>, remaining: usize },
    TurnEnd { gateway: usize, server: usize, remaining: usize },
    ServerLost,
}

/// Connections of one gateway to one server.
#[derive(Default)]
struct Connections {
    open: u32,
    busy: u32,
}

struct Site {
    gateways: Vec<Backends>,
    connections: BTreeMap<(usize, usize), Connections>,
    event_queue: BinaryHeap<Reverse<(Timestamp, u64, SimulationEvent)>>,
    sequence: u64,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl Site {
    fn run(gateways: usize, seed: u64) -> Outcome {
        let counts = vec![0; SERVERS];
        let outcome = Outcome {
            requests: 0,
            new_connections: 0,
            turns_before: counts.clone(),
            turns_after: counts,
        };
        let mut site = Self {
            gateways: (0..gateways).map(gateway).collect(),
            connections: BTreeMap::new(),
            event_queue: BinaryHeap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome,
        };
        for _ in 0..(PROGRAMS_PER_S * SECONDS) as usize {
            let at = Timestamp((site.random.random::<f64>() * SECONDS * 1e6) as u64);
            let gateway = site.random.random_range(0..gateways);
            site.schedule(
                at,
                SimulationEvent::TurnStart { gateway, server: None, remaining: TURNS_PER_PROGRAM },
            );
        }
        site.schedule(LOST_AT, SimulationEvent::ServerLost);
        while let Some(Reverse((now, _, event))) = site.event_queue.pop() {
            match event {
                SimulationEvent::TurnStart { gateway, server, remaining } => {
                    site.start_turn(gateway, server, remaining, now)
                }
                SimulationEvent::TurnEnd { gateway, server, remaining } => {
                    site.end_turn(gateway, server, remaining, now)
                }
                SimulationEvent::ServerLost => site.lose_server(now),
            }
        }
        site.outcome
    }

    fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((at, self.sequence, event)));
    }

    fn start_turn(
        &mut self,
        gateway: usize,
        holder: Option<usize>,
        remaining: usize,
        now: Timestamp,
    ) {
        let preferred = holder.map(|server| record(server, BackendState::Ready).id);
        let request = ChoiceRequest {
            service: &service(),
            affinity: Some(PROMPT),
            preferred: preferred.as_ref(),
            tried: &[],
            size: None,
            version: None,
        };
        let Choice::Use { server, .. } = self.gateways[gateway].choose(&request, now) else {
            panic!("no server takes the turn");
        };
        let number: usize = server.id.name[2..].parse().expect("a number");
        let connections = self.connections.entry((gateway, number)).or_default();
        connections.busy += 1;
        self.outcome.requests += 1;
        if connections.busy > connections.open {
            connections.open += 1;
            self.outcome.new_connections += 1;
        }
        let counts = match now < LOST_AT {
            true => &mut self.outcome.turns_before,
            false => &mut self.outcome.turns_after,
        };
        counts[number] += 1;
        let time = Duration::from_millis(30);
        self.gateways[gateway].record_response_time(&server.id, time, now + time);
        self.schedule(
            now + TURN_DURATION,
            SimulationEvent::TurnEnd { gateway, server: number, remaining: remaining - 1 },
        );
    }

    fn end_turn(&mut self, gateway: usize, server: usize, remaining: usize, now: Timestamp) {
        let id = record(server, BackendState::Ready).id;
        self.gateways[gateway].end_attempt(&id, AttemptEnd::Answered, now);
        if let Some(connections) = self.connections.get_mut(&(gateway, server)) {
            connections.busy -= 1;
        }
        if remaining == 0 {
            return;
        }
        let arrives_at_other_gateway = self.random.random_range(0..10) == 0;
        let next = match arrives_at_other_gateway {
            true => (gateway + 1) % self.gateways.len(),
            false => gateway,
        };
        let pause = Duration::from_millis(200);
        self.schedule(
            now + pause,
            SimulationEvent::TurnStart { gateway: next, server: Some(server), remaining },
        );
    }

    fn lose_server(&mut self, now: Timestamp) {
        for gateway in &mut self.gateways {
            gateway.put(record(LOST_SERVER, BackendState::Draining), now);
        }
    }
}

#[test]
fn connections_and_balance_are_bounded_however_many_gateways_share_the_load() {
    struct Case {
        gateways: usize,
        max_per_request: f64,
        max_busiest_to_mean: f64,
    }
    let case = |gateways, max_per_request, max_busiest_to_mean| Case {
        gateways,
        max_per_request,
        max_busiest_to_mean,
    };
    for Case { gateways, max_per_request, max_busiest_to_mean } in [
        case(30, 0.09, 1.3),
        case(78, 0.16, 1.3),
        case(259, 0.28, 1.3),
        // With few programs per gateway, their first servers are distributed less evenly.
        case(370, 0.28, 1.45),
    ] {
        let outcome = Site::run(gateways, 1);
        let per_request = outcome.connections_per_request();
        let (before, after) = (outcome.busiest_to_mean(), outcome.busiest_to_mean_in_lost_zone());
        println!(
            "{gateways} gateways: {per_request:.3} new connections a request, \
             busiest/mean {before:.2}, beside a lost server {after:.2}"
        );
        assert!(per_request <= max_per_request, "{gateways} gateways: {per_request}");
        assert!(before <= max_busiest_to_mean, "{gateways} gateways: {before}");
        assert!(after <= 1.5, "{gateways} gateways, beside a lost server: {after}");
    }
}
