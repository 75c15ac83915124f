//! Prints the cost of applying a list of servers and of choosing a server for one request, by the
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
/// Attempts that keep running during the measurement.
const RUNNING_ATTEMPTS: u64 = 16;
/// The time of the last choice, so that the load view is recent for each of them.
const LAST_CHOICE_AT: Timestamp = Timestamp(1_000_000 + CHOICES * 20_000);

fn main() {
    println!(
        "servers  listing, us a server  choice, us: call  first turn  program; with little room: first \
         turn  by expected end"
    );
    for servers in [8, 100, 1_000, 10_000] {
        let began = Instant::now();
        let mut backends = build_backends(servers);
        let listing = began.elapsed().as_secs_f64() * 1e6 / servers as f64;
        let prompt = SharedPrompt { hash: 7, tokens: 512 };
        let shared = Some(Affinity::SharedPrompt(prompt));
        let no_affinity = measure_choice(&mut backends, None, |_| None);
        let first_turn = measure_choice(&mut backends, None, |_| shared);
        let program =
            measure_choice(&mut backends, None, |turn| Some(Affinity::Program(turn << 40)));
        start_attempts(&mut backends);
        let first_turn_loaded = measure_choice(&mut backends, None, |_| shared);
        record_loads(&mut backends, servers);
        let size = TurnSize { prompt: Tokens(2_000), generated: Tokens(100) };
        let by_expected_end = measure_choice(&mut backends, Some(size), |_| shared);
        println!(
            "{servers:7}  {listing:21.2}  {no_affinity:16.2}  {first_turn:10.2}  {program:7.2}  \
             {first_turn_loaded:29.2}  {by_expected_end:15.2}"
        );
    }
}

fn build_backends(servers: usize) -> Backends {
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
            version: dahlia_backends::SoftwareVersion::default(),
        };
        backends.put(record, Timestamp(0));
    }
    backends
}

/// Starts enough attempts that no server is chosen without a comparison.
fn start_attempts(backends: &mut Backends) {
    let service = service();
    for turn in 0..RUNNING_ATTEMPTS {
        let affinity = Some(Affinity::Program(turn << 40));
        let request = ChoiceRequest {
            service: &service,
            affinity,
            preferred: None,
            tried: &[],
            size: None,
            version: None,
        };
        backends.choose(&request, Timestamp(1_000_000));
    }
}

/// Records the time per token of each server, and other daemons' loads.
fn record_loads(backends: &mut Backends, servers: usize) {
    let now = Timestamp(1_000_000);
    backends.set_engine_capacities(BTreeMap::from([(
        service(),
        EngineCapacity { memory: Tokens(60_000) },
    )]));
    for server in 0..servers {
        let id = BackendId::new(format!("i-{server}"), 0);
        backends.record_token_times(&id, TokenTimes { tokens: 100, micros: 300_000 }, now);
    }
    let loaded = |server: usize| ServerLoad {
        server: ServerDigest::of(&BackendId::new(format!("i-{server}"), 0)),
        in_flight: 4,
        tokens: 8_000,
        times: TokenTimes::default(),
    };
    let mut loads: Vec<ServerLoad> = (0..servers).map(loaded).collect();
    loads.sort_unstable_by_key(|load| load.server);
    let range = ServerDigest(0)..=ServerDigest(u64::MAX);
    backends.apply_load_view(&LoadView { range, loads, age: Duration::ZERO }, LAST_CHOICE_AT);
}

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

/// Returns the microseconds of one choice, including the end of its attempt.
fn measure_choice(
    backends: &mut Backends,
    size: Option<TurnSize>,
    affinity: impl Fn(u64) -> Option<Affinity>,
) -> f64 {
    let service = service();
    let began = Instant::now();
    for turn in 0..CHOICES {
        let now = Timestamp(1_000_000 + turn * 20_000);
        let request = ChoiceRequest {
            service: &service,
            affinity: affinity(turn),
            preferred: None,
            tried: &[],
            size,
            version: None,
        };
        if let Choice::Use { server, .. } = backends.choose(&request, now) {
            backends.record_response_time(&server.id, Duration::from_millis(40), now);
            backends.end_attempt(&server.id, AttemptEnd::Answered, now);
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / CHOICES as f64
}
