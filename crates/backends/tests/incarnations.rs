//! Servers that start again under the same name: what was learnt about one incarnation does not
//! apply to the next.

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

fn incarnation(born: u64) -> BackendRecord {
    BackendRecord {
        id: BackendId::new("i-1", born),
        service: service("assistant"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("hall-a"),
        slots: 2,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    }
}

fn build_backends(records: Vec<BackendRecord>) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), 1);
    records.into_iter().for_each(|record| backends.put(record, NOW));
    backends
}

fn choose_server(backends: &mut Backends, tried: &[BackendId]) -> Option<BackendId> {
    let service = service("assistant");
    let request = ChoiceRequest {
        service: &service,
        affinity: None,
        preferred: None,
        tried,
        size: None,
        version: None,
    };
    match backends.choose(&request, NOW) {
        Choice::Use { server, .. } => Some(server.id),
        _ => None,
    }
}

/// What is recorded about the first incarnation before the second one is put.
struct LearnCase {
    name: &'static str,
    learn: fn(&mut Backends, &BackendId),
}

#[test]
fn a_new_incarnation_inherits_nothing_from_the_previous_one() {
    let cases = [
        LearnCase {
            name: "running attempts",
            learn: |backends, _| while choose_server(backends, &[]).is_some() {},
        },
        LearnCase {
            name: "it was unreachable",
            learn: |backends, id| backends.end_attempt(id, AttemptEnd::Unreachable, NOW),
        },
        LearnCase {
            name: "it reported that it is leaving",
            learn: |backends, id| backends.end_attempt(id, AttemptEnd::Leaving, NOW),
        },
        LearnCase {
            name: "other daemons reported broken answers",
            learn: |backends, id| backends.add_reported_failures(id, 200, NOW),
        },
    ];
    for LearnCase { name, learn } in cases {
        let (first, second) = (incarnation(10).id, incarnation(20).id);
        let mut backends = build_backends(vec![incarnation(10)]);
        learn(&mut backends, &first);
        backends.put(incarnation(20), NOW);
        assert_eq!(backends.in_flight(&service("assistant")), 0, "{name}");
        assert!(!backends.is_suspect(&second, NOW), "{name}");
        assert_eq!(choose_server(&mut backends, &[first]), Some(second), "{name}");
    }
}

#[test]
fn attempts_at_an_earlier_incarnation_do_not_affect_the_later_one() {
    let (first, second) = (incarnation(10).id, incarnation(20).id);
    let mut backends = build_backends(vec![incarnation(10)]);
    assert_eq!(choose_server(&mut backends, &[]), Some(first.clone()));
    backends.put(incarnation(20), NOW);
    assert_eq!(choose_server(&mut backends, &[]), Some(second.clone()));
    let ends = [AttemptEnd::Broken, AttemptEnd::Leaving, AttemptEnd::Unreachable];
    ends.into_iter().for_each(|end| backends.end_attempt(&first, end, NOW));
    backends.add_reported_failures(&first, 200, NOW);
    backends.record_unanswered(&first, Duration::from_secs(60), NOW);
    assert_eq!(
        backends.in_flight(&service("assistant")),
        1,
        "the attempt at the later incarnation"
    );
    assert!(!backends.is_suspect(&second, NOW) && !backends.is_leaving_or_gone(&second));
    assert_eq!(choose_server(&mut backends, &[]), Some(second));
}

#[test]
fn an_earlier_incarnation_never_replaces_a_later_one() {
    let (first, second) = (incarnation(10).id, incarnation(20).id);
    let mut backends = build_backends(vec![incarnation(20), incarnation(10)]);
    assert_eq!(backends.ids().collect::<Vec<_>>(), [&second]);
    assert!(backends.has_later_incarnation(&first) && !backends.has_later_incarnation(&second));
    backends.remove(&first, NOW);
    assert_eq!(
        choose_server(&mut backends, &[]),
        Some(second.clone()),
        "the end of the first was reported late"
    );
    backends.remove(&second, NOW);
    assert_eq!(choose_server(&mut backends, &[]), None);
}

#[test]
fn names_with_a_common_prefix_are_different_servers() {
    let other = BackendRecord { id: BackendId::new("i-10", 5), ..incarnation(0) };
    let mut backends = build_backends(vec![incarnation(10), other.clone()]);
    assert!(!backends.has_later_incarnation(&incarnation(10).id));
    backends.put(incarnation(20), NOW);
    assert_eq!(backends.ids().collect::<Vec<_>>(), [&incarnation(20).id, &other.id]);
}

#[test]
fn a_withdrawn_server_gets_no_work_but_has_not_ended() {
    let id = incarnation(10).id;
    let mut backends = build_backends(vec![incarnation(10)]);
    assert_eq!(choose_server(&mut backends, &[]), Some(id.clone()));
    backends.withdraw(&id);
    assert_eq!(choose_server(&mut backends, &[]), None);
    assert!(
        !backends.is_leaving_or_gone(&id),
        "its running attempts count against the attempt limit of a request"
    );
    assert_eq!(backends.in_flight(&service("assistant")), 1);
    backends.put(incarnation(10), NOW);
    assert_eq!(choose_server(&mut backends, &[]), Some(id.clone()));
    assert_eq!(
        backends.in_flight(&service("assistant")),
        2,
        "the state of this incarnation is kept"
    );
}

#[test]
fn a_server_that_changes_its_service_leaves_the_previous_one() {
    let mut backends = build_backends(vec![incarnation(10)]);
    backends.put(BackendRecord { service: service("nobody-knows"), ..incarnation(10) }, NOW);
    assert_eq!(choose_server(&mut backends, &[]), None);
    backends.put(incarnation(10), NOW);
    assert_eq!(choose_server(&mut backends, &[]), Some(incarnation(10).id));
}

#[test]
fn every_incarnation_has_a_distinct_text_form() {
    for id in [BackendId::new("i-1", 0), BackendId::new("i-1", 17), BackendId::new("i@x", 3)] {
        assert_eq!(BackendId::from(id.to_string().as_str()), id);
    }
    assert_eq!(
        BackendId::from("i-1"),
        BackendId::new("i-1", 0),
        "the older text form, without a start time"
    );
}
