//! Servers that start again under their names: what was learnt of one life says nothing of the next.

use std::net::SocketAddr;

use dahlia_backends::{
    AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends, Choice,
    ChoiceRequest, ServiceName,
};
use dahlia_types::{Duration, Timestamp, Zone};

const NOW: Timestamp = Timestamp(1_000_000);

fn service(name: &str) -> ServiceName {
    ServiceName(name.to_owned())
}

fn life(born: u64) -> BackendRecord {
    BackendRecord {
        id: BackendId::new("i-1", born),
        service: service("assistant"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("hall-a"),
        slots: 2,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
    }
}

fn table(records: Vec<BackendRecord>) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), 1);
    records.into_iter().for_each(|record| backends.put(record, NOW));
    backends
}

fn chosen(backends: &mut Backends, tried: &[BackendId]) -> Option<BackendId> {
    let service = service("assistant");
    let ask =
        ChoiceRequest { service: &service, affinity: None, preferred: None, tried, size: None };
    match backends.choose(&ask, NOW) {
        Choice::Use { server, .. } => Some(server.id),
        _ => None,
    }
}

/// What the table learns of the first life, before the second is put.
struct Learnt {
    name: &'static str,
    learn: fn(&mut Backends, &BackendId),
}

#[test]
fn nothing_that_was_learnt_of_one_life_is_held_against_the_next() {
    let cases = [
        Learnt {
            name: "attempts under way",
            learn: |backends, _| while chosen(backends, &[]).is_some() {},
        },
        Learnt {
            name: "it could not be reached",
            learn: |backends, id| backends.end_attempt(id, AttemptEnd::Unreachable, NOW),
        },
        Learnt {
            name: "it said that it leaves",
            learn: |backends, id| backends.end_attempt(id, AttemptEnd::Leaving, NOW),
        },
        Learnt {
            name: "it broke answers, by others' word",
            learn: |backends, id| backends.add_reported_failures(id, 200, NOW),
        },
    ];
    for Learnt { name, learn } in cases {
        let (first, second) = (life(10).id, life(20).id);
        let mut backends = table(vec![life(10)]);
        learn(&mut backends, &first);
        backends.put(life(20), NOW);
        assert_eq!(backends.in_flight(&service("assistant")), 0, "{name}");
        assert!(!backends.is_suspect(&second, NOW), "{name}");
        assert_eq!(chosen(&mut backends, &[first]), Some(second), "{name}");
    }
}

#[test]
fn what_an_attempt_at_an_earlier_life_comes_to_says_nothing_of_the_later_one() {
    let (first, second) = (life(10).id, life(20).id);
    let mut backends = table(vec![life(10)]);
    assert_eq!(chosen(&mut backends, &[]), Some(first.clone()));
    backends.put(life(20), NOW);
    assert_eq!(chosen(&mut backends, &[]), Some(second.clone()));
    let ends = [AttemptEnd::Broken, AttemptEnd::Leaving, AttemptEnd::Unreachable];
    ends.into_iter().for_each(|end| backends.end_attempt(&first, end, NOW));
    backends.add_reported_failures(&first, 200, NOW);
    backends.record_unanswered(&first, Duration::from_secs(60), NOW);
    assert_eq!(backends.in_flight(&service("assistant")), 1, "the attempt at the later life");
    assert!(!backends.is_suspect(&second, NOW) && !backends.is_leaving_or_gone(&second));
    assert_eq!(chosen(&mut backends, &[]), Some(second));
}

#[test]
fn an_earlier_life_never_comes_after_a_later_one() {
    let (first, second) = (life(10).id, life(20).id);
    let mut backends = table(vec![life(20), life(10)]);
    assert_eq!(backends.ids().collect::<Vec<_>>(), [&second]);
    assert!(backends.has_later_incarnation(&first) && !backends.has_later_incarnation(&second));
    backends.remove(&first, NOW);
    assert_eq!(chosen(&mut backends, &[]), Some(second.clone()), "the end of the first is late");
    backends.remove(&second, NOW);
    assert_eq!(chosen(&mut backends, &[]), None);
}

#[test]
fn names_that_begin_alike_are_other_servers() {
    let other = BackendRecord { id: BackendId::new("i-10", 5), ..life(0) };
    let mut backends = table(vec![life(10), other.clone()]);
    assert!(!backends.has_later_incarnation(&life(10).id));
    backends.put(life(20), NOW);
    assert_eq!(backends.ids().collect::<Vec<_>>(), [&life(20).id, &other.id]);
}

#[test]
fn a_server_whose_entry_cannot_be_used_gets_no_work_and_has_not_ended() {
    let id = life(10).id;
    let mut backends = table(vec![life(10)]);
    assert_eq!(chosen(&mut backends, &[]), Some(id.clone()));
    backends.withdraw(&id);
    assert_eq!(chosen(&mut backends, &[]), None);
    assert!(!backends.is_leaving_or_gone(&id), "what it runs counts against the most of a request");
    assert_eq!(backends.in_flight(&service("assistant")), 1);
    backends.put(life(10), NOW);
    assert_eq!(chosen(&mut backends, &[]), Some(id.clone()));
    assert_eq!(backends.in_flight(&service("assistant")), 2, "what was learnt of this life stays");
}

#[test]
fn a_server_whose_entry_names_another_service_serves_the_one_before_no_more() {
    let mut backends = table(vec![life(10)]);
    backends.put(BackendRecord { service: service("nobody-knows"), ..life(10) }, NOW);
    assert_eq!(chosen(&mut backends, &[]), None);
    backends.put(life(10), NOW);
    assert_eq!(chosen(&mut backends, &[]), Some(life(10).id));
}

#[test]
fn every_life_has_a_text_of_its_own() {
    for id in [BackendId::new("i-1", 0), BackendId::new("i-1", 17), BackendId::new("i@x", 3)] {
        assert_eq!(BackendId::from(id.to_string().as_str()), id);
    }
    assert_eq!(BackendId::from("i-1"), BackendId::new("i-1", 0), "as written before");
}
