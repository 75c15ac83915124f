//! Servers of a zone of which nobody answers: passed over while others take the request.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, ServiceName,
};
use dahlia_types::{Duration, Timestamp, Zone};

const NOW: Timestamp = Timestamp(1_000_000);
const SLOTS: u32 = 2;

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

/// Two servers in each of these zones, named after it.
fn backends(zones: &[&str]) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), Zone::new("a"), 1);
    for zone in zones {
        for number in 0..2 {
            let record = BackendRecord {
                id: BackendId::new(format!("{zone}-{number}"), 0),
                service: service(),
                address: SocketAddr::from(([127, 0, 0, 1], 9)),
                zone: Zone::new(*zone),
                slots: SLOTS,
                state: BackendState::Ready,
                cold_for: Duration::ZERO,
            };
            backends.put(record, NOW);
        }
    }
    backends
}

fn silent(zones: &[&str]) -> BTreeSet<Zone> {
    zones.iter().map(|zone| Zone::new(*zone)).collect()
}

/// The zone of the server that the next request goes to; none when it is refused.
fn choose(backends: &mut Backends, preferred: Option<&BackendId>) -> Option<(String, BackendId)> {
    choose_at(backends, preferred, NOW)
}

fn choose_at(
    backends: &mut Backends,
    preferred: Option<&BackendId>,
    now: Timestamp,
) -> Option<(String, BackendId)> {
    let service = service();
    let ask = ChoiceRequest {
        service: &service,
        affinity: Some(Affinity::Program(7)),
        preferred,
        tried: &[],
        size: None,
    };
    match backends.choose(&ask, now) {
        Choice::Use { server, .. } => Some((server.id.name[..1].to_string(), server.id)),
        _ => None,
    }
}

#[test]
fn nothing_goes_to_a_silent_zone_while_others_take_it_not_even_where_the_prompt_lies() {
    let mut backends = backends(&["a", "b"]);
    backends.set_silent_zones(silent(&["b"]));
    let kept = BackendId::new("b-0", 0);
    let mut met = 0;
    while let Some((zone, server)) = choose(&mut backends, Some(&kept)).filter(|_| met < 20) {
        met += 1;
        assert_eq!(zone, "a");
        backends.end_attempt(&server, AttemptEnd::Answered, NOW);
    }
    assert_eq!(met, 20);
    backends.set_silent_zones(BTreeSet::new());
    assert_eq!(choose(&mut backends, Some(&kept)).expect("a server").1, kept, "after the cut");
}

#[test]
fn its_servers_are_better_than_none_and_one_that_answers_brings_them_back() {
    let mut backends = backends(&["b"]);
    backends.set_silent_zones(silent(&["b"]));
    let (_, server) = choose(&mut backends, None).expect("no other zone has any");
    for zone in ["a", "c"] {
        let record = BackendRecord {
            id: BackendId::new(format!("{zone}-9"), 0),
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: Zone::new(zone),
            slots: SLOTS,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
        };
        backends.put(record, NOW);
    }
    let kept = BackendId::new("b-0", 0);
    let (zone, other) = choose(&mut backends, Some(&kept)).expect("a server");
    assert_ne!(zone, "b");
    backends.end_attempt(&other, AttemptEnd::Answered, NOW);
    assert_ne!(choose(&mut backends, Some(&kept)).expect("a server").0, "b", "still silent");
    backends.end_attempt(&server, AttemptEnd::Answered, NOW);
    assert_eq!(choose(&mut backends, Some(&kept)).expect("a server").1, kept);
}

/// All daemons of the zone are gone, and its servers are sound.
#[test]
fn a_silent_zone_gets_a_request_a_second_until_one_is_answered() {
    let mut backends = backends(&["a", "b"]);
    let kept = BackendId::new("b-0", 0);
    backends.set_silent_zones(silent(&["b"]));
    let mut sent_there = Vec::new();
    for step in 0..35 {
        let now = NOW + Duration::from_millis(step * 100);
        let (zone, server) = choose_at(&mut backends, Some(&kept), now).expect("a server");
        if zone == "b" {
            sent_there.push(step);
        }
        backends.end_attempt(&server, AttemptEnd::Dropped, now);
        // Told again, as when another zone changes.
        backends.set_silent_zones(silent(&["b"]));
    }
    assert_eq!(sent_there, [10, 20, 30]);
    let later = NOW + Duration::from_secs(5);
    let (_, tried) = choose_at(&mut backends, Some(&kept), later).expect("a server");
    assert_ne!(choose_at(&mut backends, Some(&kept), later).expect("a server").0, "b");
    backends.end_attempt(&tried, AttemptEnd::Answered, later);
    assert_eq!(choose_at(&mut backends, Some(&kept), later).expect("a server").1, kept);
}
