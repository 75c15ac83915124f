//! The combined choices of many daemons, each of which sees a small part of the load.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Timestamp = Timestamp(1_000_000);
const PROMPTS: u64 = 16;
/// The tokens of a prompt that takes a server 195 ms to read, and of one that takes 8 ms.
const LONG_PROMPT: u64 = 12_600;
const SHORT_PROMPT: u64 = 512;

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn build_daemons(count: usize, servers: usize, slots: u32) -> Vec<Backends> {
    let record = |number: usize| BackendRecord {
        id: BackendId::new(format!("server-{number}"), 0),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("hall-a"),
        slots,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    };
    let daemon = |seed: u64| {
        let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), seed);
        (0..servers).for_each(|number| backends.put(record(number), START));
        backends
    };
    (0..count as u64).map(daemon).collect()
}

fn choose_server(daemon: &mut Backends, prompt: SharedPrompt, now: Timestamp) -> BackendId {
    let service = service();
    let affinity = Some(Affinity::SharedPrompt(prompt));
    let request = ChoiceRequest {
        service: &service,
        affinity,
        preferred: None,
        tried: &[],
        size: None,
        version: None,
    };
    let Choice::Use { server, .. } = daemon.choose(&request, now) else {
        panic!("there is room");
    };
    server.id
}

/// Returns the servers that read each prompt within some seconds after the start of all daemons.
fn simulate_prompt_readers(seconds: u64, seed: u64) -> BTreeMap<u64, BTreeSet<BackendId>> {
    const DAEMONS: usize = 57;
    const SERVERS: usize = 45;
    /// The requests with a shared prompt that each daemon receives per second.
    const REQUESTS_PER_S: u64 = 10;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = build_daemons(DAEMONS, SERVERS, 16);
    let mut readers: BTreeMap<u64, BTreeSet<BackendId>> = BTreeMap::new();
    for request in 0..seconds * REQUESTS_PER_S {
        let now = START + Duration::from_millis(request * 1_000 / REQUESTS_PER_S);
        for daemon in &mut daemons {
            let prompt = random.random_range(0..PROMPTS);
            let shared = SharedPrompt { hash: prompt, tokens: LONG_PROMPT };
            let server = choose_server(daemon, shared, now);
            daemon.end_attempt(&server, AttemptEnd::Answered, now + Duration::from_millis(90));
            readers.entry(prompt).or_default().insert(server);
        }
    }
    readers
}

/// Each daemon estimates a prompt's share from the few requests that it saw. The union of all
/// estimates must stay near what the share needs: four times its part of the servers, which is 11.
#[test]
fn daemons_that_each_see_few_requests_agree_on_few_servers_for_a_prompt() {
    for seed in 0..3 {
        let readers = simulate_prompt_readers(30, seed);
        let sum: usize = readers.values().map(BTreeSet::len).sum();
        let mean = sum as f64 / PROMPTS as f64;
        println!("seed {seed}: {mean} servers read each prompt");
        assert!((6.0..=20.0).contains(&mean), "seed {seed}: {mean}");
    }
}

/// Returns the requests at the busiest server divided by the mean, if this many daemons share a
/// load that fills half of the slots.
fn busiest_to_mean(daemon_count: usize, seed: u64) -> f64 {
    const SERVERS: usize = 100;
    const SLOTS: u32 = 6;
    const REQUEST_DURATION: Duration = Duration::from_millis(250);
    const REQUESTS: u64 = 12_000;
    /// Half of all slots handle 1,200 requests of that duration per second.
    const ARRIVAL_INTERVAL: Duration = Duration::from_micros(833);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = build_daemons(daemon_count, SERVERS, SLOTS);
    let mut running: BinaryHeap<Reverse<(Timestamp, usize, BackendId)>> = BinaryHeap::new();
    let mut counts: BTreeMap<BackendId, u64> = BTreeMap::new();
    let mut now = START;
    for _ in 0..REQUESTS {
        while running.peek().is_some_and(|Reverse((end, ..))| *end <= now) {
            let Some(Reverse((end, daemon, server))) = running.pop() else { break };
            daemons[daemon].end_attempt(&server, AttemptEnd::Answered, end);
        }
        let daemon = random.random_range(0..daemon_count);
        let hash = random.random_range(0..PROMPTS);
        let prompt = SharedPrompt { hash, tokens: SHORT_PROMPT };
        let server = choose_server(&mut daemons[daemon], prompt, now);
        *counts.entry(server.clone()).or_default() += 1;
        running.push(Reverse((now + REQUEST_DURATION, daemon, server)));
        now = now + ARRIVAL_INTERVAL;
    }
    let busiest = counts.values().max().copied().unwrap_or_default();
    busiest as f64 * SERVERS as f64 / REQUESTS as f64
}

#[test]
fn servers_are_evenly_loaded_however_many_daemons_share_the_load() {
    for daemons in [1, 30, 300] {
        for seed in 0..2 {
            let ratio = busiest_to_mean(daemons, seed);
            println!("{daemons} daemons, seed {seed}: busiest/mean {ratio:.2}");
            assert!(ratio <= 1.6, "{daemons} daemons, seed {seed}: {ratio:.2}");
        }
    }
}
