//! Servers of silent zones are avoided while others take the request.

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

/// Creates two servers in each of these zones, named after the zone.
fn build_backends(zones: &[&str]) -> Backends {
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
                version: dahlia_backends::SoftwareVersion::default(),
            };
            backends.put(record, NOW);
        }
    }
    backends
}

fn zone_set(zones: &[&str]) -> BTreeSet<Zone> {
    zones.iter().map(|zone| Zone::new(*zone)).collect()
}

/// Returns the zone and the server that the next request goes to, or `None` if it is refused.
fn choose(backends: &mut Backends, preferred: Option<&BackendId>) -> Option<(String, BackendId)> {
    choose_at(backends, preferred, NOW)
}

fn choose_at(
    backends: &mut Backends,
    preferred: Option<&BackendId>,
    now: Timestamp,
) -> Option<(String, BackendId)> {
    let service = service();
    let request = ChoiceRequest {
        service: &service,
        affinity: Some(Affinity::Program(7)),
        preferred,
        tried: &[],
        size: None,
        version: None,
    };
    match backends.choose(&request, now) {
        Choice::Use { server, .. } => Some((server.id.name[..1].to_string(), server.id)),
        _ => None,
    }
}

#[test]
fn requests_avoid_a_silent_zone_while_others_take_them_even_if_it_holds_their_prompt() {
    let mut backends = build_backends(&["a", "b"]);
    backends.set_silent_zones(zone_set(&["b"]));
    let preferred = BackendId::new("b-0", 0);
    let mut answered = 0;
    while let Some((zone, server)) =
        choose(&mut backends, Some(&preferred)).filter(|_| answered < 20)
    {
        answered += 1;
        assert_eq!(zone, "a");
        backends.end_attempt(&server, AttemptEnd::Answered, NOW);
    }
    assert_eq!(answered, 20);
    backends.set_silent_zones(BTreeSet::new());
    assert_eq!(
        choose(&mut backends, Some(&preferred)).expect("a server").1,
        preferred,
        "after the cut"
    );
}

#[test]
fn a_silent_zone_is_used_if_there_is_no_other_and_an_answer_restores_it() {
    let mut backends = build_backends(&["b"]);
    backends.set_silent_zones(zone_set(&["b"]));
    let (_, server) = choose(&mut backends, None).expect("no other zone has servers");
    for zone in ["a", "c"] {
        let record = BackendRecord {
            id: BackendId::new(format!("{zone}-9"), 0),
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: Zone::new(zone),
            slots: SLOTS,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
            version: dahlia_backends::SoftwareVersion::default(),
        };
        backends.put(record, NOW);
    }
    let preferred = BackendId::new("b-0", 0);
    let (zone, other) = choose(&mut backends, Some(&preferred)).expect("a server");
    assert_ne!(zone, "b");
    backends.end_attempt(&other, AttemptEnd::Answered, NOW);
    assert_ne!(choose(&mut backends, Some(&preferred)).expect("a server").0, "b", "still silent");
    backends.end_attempt(&server, AttemptEnd::Answered, NOW);
    assert_eq!(choose(&mut backends, Some(&preferred)).expect("a server").1, preferred);
}

/// Simulates a zone whose daemons are all lost while its servers are healthy.
#[test]
fn a_silent_zone_is_probed_once_a_second_until_it_answers() {
    let mut backends = build_backends(&["a", "b"]);
    let preferred = BackendId::new("b-0", 0);
    backends.set_silent_zones(zone_set(&["b"]));
    let mut probe_steps = Vec::new();
    for step in 0..35 {
        let now = NOW + Duration::from_millis(step * 100);
        let (zone, server) = choose_at(&mut backends, Some(&preferred), now).expect("a server");
        if zone == "b" {
            probe_steps.push(step);
        }
        backends.end_attempt(&server, AttemptEnd::Dropped, now);
        // The zones are set again, as when another zone changes.
        backends.set_silent_zones(zone_set(&["b"]));
    }
    assert_eq!(probe_steps, [10, 20, 30]);
    let later = NOW + Duration::from_secs(5);
    let (_, probed) = choose_at(&mut backends, Some(&preferred), later).expect("a server");
    assert_ne!(choose_at(&mut backends, Some(&preferred), later).expect("a server").0, "b");
    backends.end_attempt(&probed, AttemptEnd::Answered, later);
    assert_eq!(choose_at(&mut backends, Some(&preferred), later).expect("a server").1, preferred);
}
