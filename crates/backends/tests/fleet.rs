//! What many daemons choose together, each of which sees a small part of the load.

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
/// Tokens of a prompt that takes a server 195 ms to read, and of one that takes it 8 ms.
const LONG_PROMPT: u64 = 12_600;
const SHORT_PROMPT: u64 = 512;

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn daemons(count: usize, servers: usize, slots: u32) -> Vec<Backends> {
    let record = |number: usize| BackendRecord {
        id: BackendId::new(format!("server-{number}"), 0),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("hall-a"),
        slots,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
    };
    let daemon = |seed: u64| {
        let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), seed);
        (0..servers).for_each(|number| backends.put(record(number), START));
        backends
    };
    (0..count as u64).map(daemon).collect()
}

fn choose(daemon: &mut Backends, prompt: SharedPrompt, now: Timestamp) -> BackendId {
    let service = service();
    let affinity = Some(Affinity::SharedPrompt(prompt));
    let ask =
        ChoiceRequest { service: &service, affinity, preferred: None, tried: &[], size: None };
    let Choice::Use { server, .. } = daemon.choose(&ask, now) else {
        panic!("there is room");
    };
    server.id
}

/// Servers that read each prompt, for so many seconds from the start of all daemons.
fn readers(seconds: u64, seed: u64) -> BTreeMap<u64, BTreeSet<BackendId>> {
    const DAEMONS: usize = 57;
    const SERVERS: usize = 45;
    /// Requests with a shared prompt that each daemon takes in a second.
    const PER_SECOND: u64 = 10;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = daemons(DAEMONS, SERVERS, 16);
    let mut readers: BTreeMap<u64, BTreeSet<BackendId>> = BTreeMap::new();
    for request in 0..seconds * PER_SECOND {
        let now = START + Duration::from_millis(request * 1_000 / PER_SECOND);
        for daemon in &mut daemons {
            let prompt = random.random_range(0..PROMPTS);
            let shared = SharedPrompt { hash: prompt, tokens: LONG_PROMPT };
            let server = choose(daemon, shared, now);
            daemon.end_attempt(&server, AttemptEnd::Answered, now + Duration::from_millis(90));
            readers.entry(prompt).or_default().insert(server);
        }
    }
    readers
}

/// Each daemon guesses a prompt's share from the few requests that it saw; the union of all guesses
/// must stay near what the share needs: four times its part of the servers, 11.
#[test]
fn daemons_that_each_see_little_agree_on_few_servers_for_a_prompt() {
    for seed in 0..3 {
        let readers = readers(30, seed);
        let sum: usize = readers.values().map(BTreeSet::len).sum();
        let mean = sum as f64 / PROMPTS as f64;
        println!("seed {seed}: {mean} servers read each prompt");
        assert!((6.0..=20.0).contains(&mean), "seed {seed}: {mean}");
    }
}

/// Requests at the busiest server over those at the mean one, when so many daemons share a load
/// that fills half of the slots.
fn busiest_to_mean(daemon_count: usize, seed: u64) -> f64 {
    const SERVERS: usize = 100;
    const SLOTS: u32 = 6;
    const REQUEST: Duration = Duration::from_millis(250);
    const REQUESTS: u64 = 12_000;
    /// Half of all slots take 1,200 requests of that length a second.
    const INTERVAL: Duration = Duration::from_micros(833);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = daemons(daemon_count, SERVERS, SLOTS);
    let mut under_way: BinaryHeap<Reverse<(Timestamp, usize, BackendId)>> = BinaryHeap::new();
    let mut counts: BTreeMap<BackendId, u64> = BTreeMap::new();
    let mut now = START;
    for _ in 0..REQUESTS {
        while under_way.peek().is_some_and(|Reverse((end, ..))| *end <= now) {
            let Some(Reverse((end, daemon, server))) = under_way.pop() else { break };
            daemons[daemon].end_attempt(&server, AttemptEnd::Answered, end);
        }
        let daemon = random.random_range(0..daemon_count);
        let hash = random.random_range(0..PROMPTS);
        let prompt = SharedPrompt { hash, tokens: SHORT_PROMPT };
        let server = choose(&mut daemons[daemon], prompt, now);
        *counts.entry(server.clone()).or_default() += 1;
        under_way.push(Reverse((now + REQUEST, daemon, server)));
        now = now + INTERVAL;
    }
    let busiest = counts.values().max().copied().unwrap_or_default();
    busiest as f64 * SERVERS as f64 / REQUESTS as f64
}

#[test]
fn servers_are_loaded_alike_however_many_daemons_share_the_load() {
    for daemons in [1, 30, 300] {
        for seed in 0..2 {
            let ratio = busiest_to_mean(daemons, seed);
            println!("{daemons} daemons, seed {seed}: busiest/mean {ratio:.2}");
            assert!(ratio <= 1.6, "{daemons} daemons, seed {seed}: {ratio:.2}");
        }
    }
}
