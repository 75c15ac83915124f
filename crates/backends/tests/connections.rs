//! How many connections gateways make to servers, and how evenly these are loaded all the same.
//!
//! A site of three zones with 48 model servers of eight slots, whose load of programs fills 45 in 100 of
//! the slots, however many gateways share it. A program has six turns of 270 ms; after its first one
//! the ledger knows its server, and one turn in ten arrives by another zone. A connection is kept and
//! used again; a new one is made where none to that server is idle.

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
const TURN: Duration = Duration::from_millis(270);
const TURNS: usize = 6;
const SECONDS: f64 = 30.0;
const PROGRAMS_PER_S: f64 = 0.45 * SERVERS as f64 * SLOTS as f64 / 0.27 / TURNS as f64;
const PROMPT: Affinity = Affinity::SharedPrompt(SharedPrompt { hash: 7, tokens: 512 });
/// When a server dies.
const DEATH: Timestamp = Timestamp(20_000_000);
const DEAD: usize = 0;

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
    }
}

fn gateway(number: usize) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), zone(number), number as u64);
    for server in 0..SERVERS {
        backends.put(record(server, BackendState::Ready), Timestamp(0));
    }
    backends
}

/// What a run showed.
#[derive(Debug, Clone)]
struct Figures {
    requests: usize,
    new_connections: usize,
    /// Turns at each server before and after the death.
    before: Vec<usize>,
    after: Vec<usize>,
}

impl Figures {
    fn connections_per_request(&self) -> f64 {
        self.new_connections as f64 / self.requests as f64
    }

    fn busiest_to_mean(&self) -> f64 {
        let most = self.before.iter().max().copied().unwrap_or_default();
        (most * SERVERS) as f64 / self.before.iter().sum::<usize>() as f64
    }

    /// The same of the servers of the dead one's zone that are left.
    fn busiest_to_mean_beside_the_dead(&self) -> f64 {
        let left = (DEAD + ZONES..SERVERS).step_by(ZONES);
        let left: Vec<usize> = left.map(|server| self.after[server]).collect();
        let most = left.iter().max().copied().unwrap_or_default();
        (most * left.len()) as f64 / left.iter().sum::<usize>() as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Turn { gateway: usize, server: Option<usize>, left: usize },
    Ends { gateway: usize, server: usize, left: usize },
    Death,
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
    agenda: BinaryHeap<Reverse<(Timestamp, u64, Happening)>>,
    steps: u64,
    random: ChaCha8Rng,
    figures: Figures,
}

impl Site {
    fn run(gateways: usize, seed: u64) -> Figures {
        let counts = vec![0; SERVERS];
        let figures =
            Figures { requests: 0, new_connections: 0, before: counts.clone(), after: counts };
        let mut site = Self {
            gateways: (0..gateways).map(gateway).collect(),
            connections: BTreeMap::new(),
            agenda: BinaryHeap::new(),
            steps: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            figures,
        };
        for _ in 0..(PROGRAMS_PER_S * SECONDS) as usize {
            let at = Timestamp((site.random.random::<f64>() * SECONDS * 1e6) as u64);
            let gateway = site.random.random_range(0..gateways);
            site.put(at, Happening::Turn { gateway, server: None, left: TURNS });
        }
        site.put(DEATH, Happening::Death);
        while let Some(Reverse((now, _, happening))) = site.agenda.pop() {
            match happening {
                Happening::Turn { gateway, server, left } => site.turn(gateway, server, left, now),
                Happening::Ends { gateway, server, left } => site.ends(gateway, server, left, now),
                Happening::Death => site.death(now),
            }
        }
        site.figures
    }

    fn put(&mut self, at: Timestamp, happening: Happening) {
        self.steps += 1;
        self.agenda.push(Reverse((at, self.steps, happening)));
    }

    fn turn(&mut self, gateway: usize, holder: Option<usize>, left: usize, now: Timestamp) {
        let preferred = holder.map(|server| record(server, BackendState::Ready).id);
        let ask = ChoiceRequest {
            service: &service(),
            affinity: Some(PROMPT),
            preferred: preferred.as_ref(),
            tried: &[],
            size: None,
        };
        let Choice::Use { server, .. } = self.gateways[gateway].choose(&ask, now) else {
            panic!("a server takes it");
        };
        let number: usize = server.id.name[2..].parse().expect("a number");
        let connections = self.connections.entry((gateway, number)).or_default();
        connections.busy += 1;
        self.figures.requests += 1;
        if connections.busy > connections.open {
            connections.open += 1;
            self.figures.new_connections += 1;
        }
        let counts = match now < DEATH {
            true => &mut self.figures.before,
            false => &mut self.figures.after,
        };
        counts[number] += 1;
        let time = Duration::from_millis(30);
        self.gateways[gateway].record_response_time(&server.id, time, now + time);
        self.put(now + TURN, Happening::Ends { gateway, server: number, left: left - 1 });
    }

    fn ends(&mut self, gateway: usize, server: usize, left: usize, now: Timestamp) {
        let id = record(server, BackendState::Ready).id;
        self.gateways[gateway].end_attempt(&id, AttemptEnd::Answered, now);
        if let Some(connections) = self.connections.get_mut(&(gateway, server)) {
            connections.busy -= 1;
        }
        if left == 0 {
            return;
        }
        let arrives_elsewhere = self.random.random_range(0..10) == 0;
        let next = match arrives_elsewhere {
            true => (gateway + 1) % self.gateways.len(),
            false => gateway,
        };
        let pause = Duration::from_millis(200);
        self.put(now + pause, Happening::Turn { gateway: next, server: Some(server), left });
    }

    fn death(&mut self, now: Timestamp) {
        for gateway in &mut self.gateways {
            gateway.put(record(DEAD, BackendState::Draining), now);
        }
    }
}

#[test]
fn connections_and_evenness_hold_however_many_gateways_share_the_load() {
    struct Case {
        gateways: usize,
        most_per_request: f64,
        most_uneven: f64,
    }
    let case =
        |gateways, most_per_request, most_uneven| Case { gateways, most_per_request, most_uneven };
    for Case { gateways, most_per_request, most_uneven } in [
        case(30, 0.09, 1.3),
        case(78, 0.16, 1.3),
        case(259, 0.28, 1.3),
        // Few programs a gateway: the draw of their first servers is less even.
        case(370, 0.28, 1.45),
    ] {
        let figures = Site::run(gateways, 1);
        let per_request = figures.connections_per_request();
        let (before, after) =
            (figures.busiest_to_mean(), figures.busiest_to_mean_beside_the_dead());
        println!(
            "{gateways} gateways: {per_request:.3} new connections a request, \
             busiest/mean {before:.2}, beside a dead server {after:.2}"
        );
        assert!(per_request <= most_per_request, "{gateways} gateways: {per_request}");
        assert!(before <= most_uneven, "{gateways} gateways: {before}");
        assert!(after <= 1.5, "{gateways} gateways, beside a dead server: {after}");
    }
}
