//! Where turns go in a fleet of three regions: inside the region while its servers can bear it, to
//! others when they cannot.
//!
//! 72 gateways before 42 servers of eight slots; a turn takes 270 ms of a slot, a way between regions
//! 8 ms. Usual load fills 45 in 100 of the slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, Regions, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Region, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REGIONS: usize = 3;
const ZONES: usize = 6;
const GATEWAYS: usize = 72;
const SERVERS: usize = 42;
const SLOTS: usize = 8;
const TURN: Duration = Duration::from_millis(270);
/// One way between regions.
const WAY: Duration = Duration::from_millis(8);
/// Turns a second of one zone's callers that fill 45 in 100 of its servers' slots.
const USUAL_PER_S: f64 = 0.45 * (SERVERS / ZONES * SLOTS) as f64 / 0.27;
/// When what a case is about happens.
const HAPPENS: Timestamp = Timestamp(6_000_000);
const IS_OVER: Timestamp = Timestamp(10_000_000);
/// Arrivals end.
const END: Timestamp = Timestamp(12_000_000);
/// The prompt that all programs share: any server may read it.
const PROMPT: Affinity = Affinity::SharedPrompt(SharedPrompt { hash: 7, tokens: 512 });

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn zone(number: usize) -> Zone {
    Zone::new(format!("zone-{number}"))
}

fn regions() -> Regions {
    let region = |number: usize| Region::new(format!("region-{}", number % REGIONS));
    Regions((0..ZONES).map(|number| (zone(number), region(number))).collect())
}

fn server_id(number: usize) -> BackendId {
    BackendId::new(format!("i-{number}"), 0)
}

/// Server `number` stands in zone `number % ZONES`, and so in region `number % REGIONS`.
fn record(number: usize, state: BackendState) -> BackendRecord {
    BackendRecord {
        id: server_id(number),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: zone(number % ZONES),
        slots: SLOTS as u32,
        state,
        cold_for: Duration::ZERO,
    }
}

fn gateway(number: usize, settings: BackendSettings) -> Backends {
    let zone = zone(number % ZONES);
    let mut backends = Backends::new(settings, zone, number as u64).with_regions(regions());
    for server in 0..SERVERS {
        backends.put(record(server, BackendState::Ready), Timestamp(0));
    }
    backends
}

/// What befalls the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Callers of this many zones of the first region come 2.5 times as often.
    Burst {
        zones: usize,
    },
    /// Of the first region's servers so many remain. Every third gateway is not told.
    Lost {
        remaining: usize,
    },
    /// The servers are replaced one after the other, each away for a while.
    Release,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrives { zone: usize },
    Reaches { server: usize, turn: Turn },
    Ends { server: usize, gateway: usize },
    Lost,
    Replaced { server: usize },
}

/// A turn on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    gateway: usize,
    sent: Timestamp,
}

#[derive(Default)]
struct Outcome {
    /// Milliseconds until answers of the first region's callers began, sent while it happened.
    waits: Vec<f64>,
    /// Turns sent while it happened, and those of them that went to another region.
    sent: usize,
    crossed: usize,
    /// The same for the first region's callers.
    first_sent: usize,
    first_crossed: usize,
    /// Turns at each server meanwhile.
    at_server: Vec<usize>,
    /// Tries at servers that were gone.
    in_vain: usize,
}

impl Outcome {
    fn mean_wait(&self) -> f64 {
        self.waits.iter().sum::<f64>() / self.waits.len() as f64
    }

    fn crossed(&self) -> f64 {
        self.crossed as f64 / self.sent as f64
    }

    fn first_crossed(&self) -> f64 {
        self.first_crossed as f64 / self.first_sent as f64
    }

    /// Turns at the busiest server of the other regions over those at the mean one.
    fn busiest_to_mean_elsewhere(&self) -> f64 {
        let others = self.at_server.iter().enumerate();
        let others: Vec<usize> =
            others.filter(|(server, _)| server % REGIONS != 0).map(|(_, turns)| *turns).collect();
        let most = others.iter().max().copied().unwrap_or_default();
        (most * others.len()) as f64 / others.iter().sum::<usize>() as f64
    }
}

struct Fleet {
    trouble: Trouble,
    gateways: Vec<Backends>,
    is_gone: Vec<bool>,
    running: Vec<usize>,
    queues: Vec<VecDeque<Turn>>,
    agenda: BinaryHeap<Reverse<(Timestamp, u64, Happening)>>,
    steps: u64,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl Fleet {
    fn run(trouble: Trouble, settings: &BackendSettings, seed: u64) -> Outcome {
        let mut fleet = Self {
            trouble,
            gateways: (0..GATEWAYS).map(|number| gateway(number, settings.clone())).collect(),
            is_gone: vec![false; SERVERS],
            running: vec![0; SERVERS],
            queues: vec![VecDeque::new(); SERVERS],
            agenda: BinaryHeap::new(),
            steps: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome { at_server: vec![0; SERVERS], ..Outcome::default() },
        };
        (0..ZONES).for_each(|zone| fleet.put(Timestamp(0), Happening::Arrives { zone }));
        match trouble {
            Trouble::Lost { .. } => fleet.put(HAPPENS, Happening::Lost),
            Trouble::Release => fleet.put(Timestamp(0), Happening::Replaced { server: 0 }),
            Trouble::None | Trouble::Burst { .. } => {}
        }
        while let Some(Reverse((now, _, happening))) = fleet.agenda.pop() {
            match happening {
                Happening::Arrives { zone } => fleet.arrives(zone, now),
                Happening::Reaches { server, turn } => fleet.reaches(server, turn, now),
                Happening::Ends { server, gateway } => fleet.ends(server, gateway, now),
                Happening::Lost => fleet.lose(now),
                Happening::Replaced { server } => fleet.replace(server, now),
            }
        }
        fleet.outcome
    }

    fn put(&mut self, at: Timestamp, happening: Happening) {
        self.steps += 1;
        self.agenda.push(Reverse((at, self.steps, happening)));
    }

    /// Times as many callers of a zone as usual.
    fn factor(&self, zone: usize, now: Timestamp) -> f64 {
        let Trouble::Burst { zones } = self.trouble else { return 1.0 };
        let is_struck = zone.is_multiple_of(REGIONS) && zone / REGIONS < zones;
        if is_struck && (HAPPENS..IS_OVER).contains(&now) { 2.5 } else { 1.0 }
    }

    fn arrives(&mut self, zone: usize, now: Timestamp) {
        let per_s = USUAL_PER_S * self.factor(zone, now);
        let pause = -self.random.random::<f64>().max(1e-9).ln() / per_s;
        let next = now + Duration::from_secs_f64(pause);
        if next < END {
            self.put(next, Happening::Arrives { zone });
        }
        let gateway = self.random.random_range(0..GATEWAYS / ZONES) * ZONES + zone;
        let server = self.choose(gateway, now);
        let crosses = server % REGIONS != zone % REGIONS;
        if (HAPPENS..IS_OVER).contains(&now) {
            self.note(server, zone, crosses);
        }
        let way = if crosses { WAY } else { Duration::ZERO };
        self.put(now + way, Happening::Reaches { server, turn: Turn { gateway, sent: now } });
    }

    fn note(&mut self, server: usize, zone: usize, crosses: bool) {
        let is_first = zone.is_multiple_of(REGIONS);
        self.outcome.at_server[server] += 1;
        self.outcome.sent += 1;
        self.outcome.crossed += usize::from(crosses);
        self.outcome.first_sent += usize::from(is_first);
        self.outcome.first_crossed += usize::from(is_first && crosses);
    }

    /// Asks for servers until one is there.
    fn choose(&mut self, gateway: usize, now: Timestamp) -> usize {
        let mut tried = Vec::new();
        loop {
            let ask = ChoiceRequest {
                service: &service(),
                affinity: Some(PROMPT),
                preferred: None,
                tried: &tried,
                size: None,
            };
            let Choice::Use { server, .. } = self.gateways[gateway].choose(&ask, now) else {
                panic!("no server takes a turn after {tried:?}");
            };
            let number: usize = server.id.name[2..].parse().expect("a number");
            if !self.is_gone[number] {
                return number;
            }
            self.outcome.in_vain += 1;
            self.gateways[gateway].end_attempt(&server.id, AttemptEnd::Unreachable, now);
            tried.push(server.id);
        }
    }

    fn reaches(&mut self, server: usize, turn: Turn, now: Timestamp) {
        if self.running[server] < SLOTS {
            self.starts(server, turn, now);
        } else {
            self.queues[server].push_back(turn);
        }
    }

    fn starts(&mut self, server: usize, turn: Turn, now: Timestamp) {
        self.running[server] += 1;
        let crosses = server % REGIONS != turn.gateway % REGIONS;
        let answer = now + if crosses { WAY } else { Duration::ZERO };
        let waited = answer.since(turn.sent);
        if turn.gateway.is_multiple_of(REGIONS) && (HAPPENS..IS_OVER).contains(&turn.sent) {
            self.outcome.waits.push(waited.as_secs_f64() * 1e3);
        }
        self.gateways[turn.gateway].record_response_time(&server_id(server), waited, answer);
        self.put(now + TURN, Happening::Ends { server, gateway: turn.gateway });
    }

    fn ends(&mut self, server: usize, gateway: usize, now: Timestamp) {
        self.gateways[gateway].end_attempt(&server_id(server), AttemptEnd::Answered, now);
        self.running[server] -= 1;
        if let Some(next) = self.queues[server].pop_front() {
            self.starts(server, next, now);
        }
    }

    /// Servers of the first region are lost. What they have is let end, as the model knows no errors.
    fn lose(&mut self, now: Timestamp) {
        let Trouble::Lost { remaining } = self.trouble else { return };
        let first = (0..SERVERS).filter(|server| server.is_multiple_of(REGIONS)).enumerate();
        let lost = first.filter(|(place, _)| *place >= remaining);
        for server in lost.map(|(_, server)| server).collect::<Vec<_>>() {
            self.is_gone[server] = true;
            let gateways = self.gateways.iter_mut().enumerate();
            for (_, told) in gateways.filter(|(number, _)| !(number / ZONES).is_multiple_of(3)) {
                told.put(record(server, BackendState::Draining), now);
            }
        }
    }

    fn replace(&mut self, server: usize, now: Timestamp) {
        let state = |is_back| if is_back { BackendState::Ready } else { BackendState::Draining };
        let before = (server + SERVERS - 1) % SERVERS;
        for gateway in &mut self.gateways {
            gateway.put(record(before, state(true)), now);
            gateway.put(record(server, state(false)), now);
        }
        if now < END {
            let next = (server + 1) % SERVERS;
            self.put(now + Duration::from_millis(300), Happening::Replaced { server: next });
        }
    }
}

/// The settings with which requests leave their region only when it has no server at all.
fn never_late() -> BackendSettings {
    BackendSettings { region_margin_ms: 60_000, ..BackendSettings::default() }
}

#[test]
fn turns_stay_in_their_region_while_its_servers_can_bear_them() {
    struct Case {
        name: &'static str,
        trouble: Trouble,
        most_crossed: f64,
        longest_mean_wait_ms: f64,
    }
    let case = |name, trouble, most_crossed, longest_mean_wait_ms| Case {
        name,
        trouble,
        most_crossed,
        longest_mean_wait_ms,
    };
    for Case { name, trouble, most_crossed, longest_mean_wait_ms } in [
        case("the usual load", Trouble::None, 0.01, 20.0),
        case("one zone's callers burst", Trouble::Burst { zones: 1 }, 0.1, 60.0),
        case("a release one by one", Trouble::Release, 0.01, 20.0),
    ] {
        for seed in 0..2 {
            let outcome = Fleet::run(trouble, &BackendSettings::default(), seed);
            let (crossed, wait) = (outcome.crossed(), outcome.mean_wait());
            println!("{name}, seed {seed}: {crossed:.3} crossed, mean wait {wait:.1} ms");
            assert!(crossed <= most_crossed, "{name}: {crossed}");
            assert!(wait <= longest_mean_wait_ms, "{name}: {wait}");
        }
    }
}

#[test]
fn a_burst_of_one_regions_callers_is_borne_by_all() {
    for seed in 0..3 {
        let trouble = Trouble::Burst { zones: 2 };
        let outcome = Fleet::run(trouble, &BackendSettings::default(), seed);
        let alone = Fleet::run(trouble, &never_late(), seed);
        let (wait, alone) = (outcome.mean_wait(), alone.mean_wait());
        let crossed = outcome.first_crossed();
        println!("seed {seed}: {crossed:.3} crossed, mean wait {wait:.1} ms; alone {alone:.1} ms");
        assert!(wait < 110.0, "{wait}");
        assert!(alone > 1.5 * wait, "the region alone: {alone}");
    }
}

#[test]
fn what_lost_servers_bore_goes_to_many() {
    struct Case {
        name: &'static str,
        remaining: usize,
        least_crossed: f64,
    }
    let case = |name, remaining, least_crossed| Case { name, remaining, least_crossed };
    for Case { name, remaining, least_crossed } in
        [case("a region's servers are lost", 0, 1.0), case("all but two of them are lost", 2, 0.6)]
    {
        let trouble = Trouble::Lost { remaining };
        let outcome = Fleet::run(trouble, &BackendSettings::default(), 1);
        let crossed = outcome.first_crossed();
        let (busiest, wait) = (outcome.busiest_to_mean_elsewhere(), outcome.mean_wait());
        let in_vain = outcome.in_vain;
        println!("{name}: {crossed:.3} crossed, mean wait {wait:.1} ms, {busiest:.2} busiest/mean");
        println!("{name}: {in_vain} tries in vain of {}", outcome.sent);
        assert!(crossed >= least_crossed, "{name}: {crossed}");
        assert!(wait < 60.0, "{name}: {wait}");
        assert!(busiest <= 1.3, "{name}: {busiest}");
    }
}

/// Asks once of a gateway in `zone`, whose servers `gone` have left.
struct Asked {
    name: &'static str,
    affinity: Option<Affinity>,
    preferred: Option<usize>,
    gone: fn(usize) -> bool,
    /// The region that the request goes to.
    region: usize,
    /// The very server, where it is known.
    server: Option<usize>,
}

#[test]
fn a_request_goes_where_its_region_has_servers() {
    let program = Some(Affinity::Program(11));
    let object = Some(Affinity::Object(12));
    let none: fn(usize) -> bool = |_| false;
    let own: fn(usize) -> bool = |server| server.is_multiple_of(REGIONS);
    let but_third: fn(usize) -> bool = |server| server % REGIONS != 2;
    let cases = [
        Asked {
            name: "a program",
            affinity: program,
            preferred: None,
            gone: none,
            region: 0,
            server: None,
        },
        Asked {
            name: "an object",
            affinity: object,
            preferred: None,
            gone: none,
            region: 0,
            server: None,
        },
        Asked {
            name: "neither",
            affinity: None,
            preferred: None,
            gone: none,
            region: 0,
            server: None,
        },
        Asked {
            name: "its prompt is near",
            affinity: program,
            preferred: Some(3),
            gone: none,
            region: 0,
            server: Some(3),
        },
        Asked {
            name: "its prompt is abroad, home is fine",
            affinity: Some(PROMPT),
            preferred: Some(2),
            gone: none,
            region: 0,
            server: None,
        },
        Asked {
            name: "its prompt is abroad, home is gone",
            affinity: Some(PROMPT),
            preferred: Some(2),
            gone: own,
            region: 2,
            server: Some(2),
        },
        Asked {
            name: "only one region is left",
            affinity: program,
            preferred: None,
            gone: but_third,
            region: 2,
            server: None,
        },
        Asked {
            name: "only one region is left, no affinity",
            affinity: None,
            preferred: None,
            gone: but_third,
            region: 2,
            server: None,
        },
    ];
    for Asked { name, affinity, preferred, gone, region, server } in cases {
        let mut gateway = gateway(0, BackendSettings::default());
        let now = Timestamp(1_000_000);
        for server in (0..SERVERS).filter(|server| gone(*server)) {
            gateway.put(record(server, BackendState::Draining), now);
        }
        let preferred = preferred.map(server_id);
        let ask = ChoiceRequest {
            service: &service(),
            affinity,
            preferred: preferred.as_ref(),
            tried: &[],
            size: None,
        };
        let Choice::Use { server: chosen, .. } = gateway.choose(&ask, now) else {
            panic!("{name}: no server");
        };
        let number: usize = chosen.id.name[2..].parse().expect("a number");
        assert_eq!(number % REGIONS, region, "{name}: {number}");
        assert!(server.is_none_or(|server| server == number), "{name}: {number}");
    }
}

#[test]
fn gateways_of_all_zones_of_a_region_prefer_the_same_server_for_a_program() {
    for program in 0..200 {
        let affinity = Some(Affinity::Program(program));
        let ask = ChoiceRequest {
            service: &service(),
            affinity,
            preferred: None,
            tried: &[],
            size: None,
        };
        let chosen = |number: usize| {
            let mut gateway = gateway(number, BackendSettings::default());
            match gateway.choose(&ask, Timestamp(1_000_000)) {
                Choice::Use { server, .. } => server.id,
                refused => panic!("{refused:?}"),
            }
        };
        // Gateways 0 and 3 stand in the two zones of the first region.
        assert_eq!(chosen(0), chosen(3), "program {program}");
    }
}

#[test]
fn a_second_try_stays_in_the_region() {
    let mut gateway = gateway(0, BackendSettings::default());
    let mut tried = Vec::new();
    for _ in 0..SERVERS / REGIONS / 2 {
        let affinity = Some(Affinity::Program(5));
        let ask = ChoiceRequest {
            service: &service(),
            affinity,
            preferred: None,
            tried: &tried,
            size: None,
        };
        let Choice::Use { server, .. } = gateway.choose(&ask, Timestamp(1_000_000)) else {
            panic!("there are servers");
        };
        let number: usize = server.id.name[2..].parse().expect("a number");
        assert_eq!(number % REGIONS, 0, "after {tried:?}");
        tried.push(server.id);
    }
}
