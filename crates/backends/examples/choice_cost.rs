//! Prints what it costs a gateway to take in a list of servers, and to choose one for a request, by the
//! number of servers: microseconds of one core, in a release build.
//!
//! `cargo run --release -p dahlia-backends --example choice_cost`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, EngineCapacity, Gateways, LoadView, ServerDigest, ServerLoad,
    ServiceName, SharedPrompt, TokenTimes, TurnSize,
};
use dahlia_types::{Duration, Timestamp, Tokens, Zone};

const ZONES: usize = 6;
const CHOICES: u64 = 2_000;
/// Attempts that go on beside those that are timed.
const UNDER_WAY: u64 = 16;
/// When the last choice is made, so that what is heard then is fresh for each of them.
const LAST: Timestamp = Timestamp(1_000_000 + CHOICES * 20_000);

fn main() {
    println!(
        "servers  listing, us a server  choice, us: call  first turn  program; with little room: first \
         turn  by expected end"
    );
    for servers in [8, 100, 1_000, 10_000] {
        let began = Instant::now();
        let mut backends = table(servers);
        let listing = began.elapsed().as_secs_f64() * 1e6 / servers as f64;
        let prompt = SharedPrompt { hash: 7, tokens: 512 };
        let shared = Some(Affinity::SharedPrompt(prompt));
        let call = choice(&mut backends, None, |_| None);
        let first = choice(&mut backends, None, |_| shared);
        let program = choice(&mut backends, None, |turn| Some(Affinity::Program(turn << 40)));
        fill(&mut backends);
        let full = choice(&mut backends, None, |_| shared);
        learn(&mut backends, servers);
        let size = TurnSize { prompt: Tokens(2_000), generated: Tokens(100) };
        let ends = choice(&mut backends, Some(size), |_| shared);
        println!(
            "{servers:7}  {listing:21.2}  {call:16.2}  {first:10.2}  {program:7.2}  {full:29.2}  \
             {ends:15.2}"
        );
    }
}

fn table(servers: usize) -> Backends {
    let zone = |number: usize| Zone::new(format!("hall-{}", number % ZONES));
    let mut backends = Backends::new(BackendSettings::default(), zone(0), 7);
    backends.set_gateways(Gateways::new(0, 0..800));
    for server in 0..servers {
        let record = BackendRecord {
            id: BackendId::new(format!("i-{server}"), 0),
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: zone(server),
            slots: 6,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
        };
        backends.put(record, Timestamp(0));
    }
    backends
}

/// Begins so many attempts that no server counts as free without a look at others.
fn fill(backends: &mut Backends) {
    let service = service();
    for turn in 0..UNDER_WAY {
        let affinity = Some(Affinity::Program(turn << 40));
        let ask =
            ChoiceRequest { service: &service, affinity, preferred: None, tried: &[], size: None };
        backends.choose(&ask, Timestamp(1_000_000));
    }
}

/// Lets the pace of each server and others' loads be known.
fn learn(backends: &mut Backends, servers: usize) {
    let now = Timestamp(1_000_000);
    backends.set_engine_capacities(BTreeMap::from([(
        service(),
        EngineCapacity { memory: Tokens(60_000) },
    )]));
    for server in 0..servers {
        let id = BackendId::new(format!("i-{server}"), 0);
        backends.record_token_times(&id, TokenTimes { tokens: 100, micros: 300_000 }, now);
    }
    let busy = |server: usize| ServerLoad {
        server: ServerDigest::of(&BackendId::new(format!("i-{server}"), 0)),
        in_flight: 4,
        tokens: 8_000,
        times: TokenTimes::default(),
    };
    let mut loads: Vec<ServerLoad> = (0..servers).map(busy).collect();
    loads.sort_unstable_by_key(|load| load.server);
    let range = ServerDigest(0)..=ServerDigest(u64::MAX);
    backends.apply_load_view(&LoadView { range, loads, age: Duration::ZERO }, LAST);
}

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

/// Microseconds of one choice with the end of its attempt.
fn choice(
    backends: &mut Backends,
    size: Option<TurnSize>,
    affinity: impl Fn(u64) -> Option<Affinity>,
) -> f64 {
    let service = service();
    let began = Instant::now();
    for turn in 0..CHOICES {
        let now = Timestamp(1_000_000 + turn * 20_000);
        let ask = ChoiceRequest {
            service: &service,
            affinity: affinity(turn),
            preferred: None,
            tried: &[],
            size,
        };
        if let Choice::Use { server, .. } = backends.choose(&ask, now) {
            backends.record_response_time(&server.id, Duration::from_millis(40), now);
            backends.end_attempt(&server.id, AttemptEnd::Answered, now);
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / CHOICES as f64
}
