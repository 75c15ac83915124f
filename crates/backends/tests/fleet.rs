//! What many daemons choose together, each of which sees a small part of the load.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, Ask, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ServiceName,
};
use dahlia_types::{Duration, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Timestamp = Timestamp(1_000_000);
const DAEMONS: usize = 57;
const SERVERS: usize = 45;
const PROMPTS: u64 = 16;
/// Requests with a shared prompt that each daemon takes in a second.
const PER_SECOND: u64 = 10;

fn daemons() -> Vec<Backends> {
    let record = |number: usize| BackendRecord {
        id: BackendId(format!("server-{number}")),
        service: ServiceName("assistant".to_owned()),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("hall-a"),
        slots: 16,
        state: BackendState::Ready,
    };
    let daemon = |seed: u64| {
        let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), seed);
        (0..SERVERS).for_each(|number| backends.put(record(number), START));
        backends
    };
    (0..DAEMONS as u64).map(daemon).collect()
}

/// Servers that read each prompt, for so many seconds from the start of all daemons.
fn readers(seconds: u64, seed: u64) -> BTreeMap<u64, BTreeSet<BackendId>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = daemons();
    let service = ServiceName("assistant".to_owned());
    let mut readers: BTreeMap<u64, BTreeSet<BackendId>> = BTreeMap::new();
    for request in 0..seconds * PER_SECOND {
        let now = START + Duration::from_millis(request * 1_000 / PER_SECOND);
        for daemon in &mut daemons {
            let prompt = random.random_range(0..PROMPTS);
            let affinity = Some(Affinity::SharedPrompt(prompt));
            let ask = Ask { service: &service, affinity, preferred: None, tried: &[] };
            let Choice::Use { server, .. } = daemon.choose(&ask, now) else {
                panic!("there is room");
            };
            daemon.end(&server.id, AttemptEnd::Answered, now + Duration::from_millis(90));
            readers.entry(prompt).or_default().insert(server.id);
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
