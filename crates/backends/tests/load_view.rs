//! The loads that a daemon reports, the loads that it applies from others, and the choice by
//! expected ends.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceBasis, ChoiceReason, ChoiceRequest, EngineCapacity, Gateways, LoadView,
    ServerDigest, ServerLoad, ServiceName, TokenTimes, TurnSize,
};
use dahlia_types::{Duration, Timestamp, Tokens, Zone};

const NOW: Timestamp = Timestamp(60_000_000);
const SLOTS: u32 = 8;
const MEMORY: u64 = 50_000;
const SIZE: TurnSize = TurnSize { prompt: Tokens(1_200), generated: Tokens(80) };
const FULL_RANGE: RangeInclusive<ServerDigest> = ServerDigest(0)..=ServerDigest(u64::MAX);
const FAST_MICROS: u32 = 2_000;
const SLOW_MICROS: u32 = 9_000;

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn server_id(server: usize) -> BackendId {
    BackendId::new(format!("i-{server}"), 1)
}

fn build_backends(servers: usize, settings: BackendSettings) -> Backends {
    let mut backends = Backends::new(settings, Zone::new("hall-a"), 7);
    let engine = EngineCapacity { memory: Tokens(MEMORY) };
    backends.set_engine_capacities(BTreeMap::from([(service(), engine)]));
    for server in 0..servers {
        let record = BackendRecord {
            id: server_id(server),
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: Zone::new("hall-a"),
            slots: SLOTS,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
            version: dahlia_backends::SoftwareVersion::default(),
        };
        backends.put(record, NOW);
    }
    backends
}

/// Creates one server for each time per token, in microseconds, and records that time.
fn build_with_token_times(token_micros: &[u32]) -> Backends {
    let mut backends = build_backends(token_micros.len(), BackendSettings::default());
    for (server, micros) in token_micros.iter().enumerate() {
        let times = TokenTimes { tokens: 500, micros: 500 * micros };
        backends.record_token_times(&server_id(server), times, NOW);
    }
    backends
}

fn server_load(server: usize, in_flight: u16, tokens: u32) -> ServerLoad {
    ServerLoad {
        server: ServerDigest::of(&server_id(server)),
        in_flight,
        tokens,
        times: TokenTimes::default(),
    }
}

fn load_view(mut loads: Vec<ServerLoad>) -> LoadView {
    loads.sort_by_key(|load| load.server);
    LoadView { range: FULL_RANGE, loads, age: Duration::from_millis(20) }
}

fn choose_for(
    backends: &mut Backends,
    preferred: Option<&BackendId>,
    now: Timestamp,
) -> (usize, ChoiceBasis) {
    let service = service();
    let affinity = Some(Affinity::Program(1));
    let request = ChoiceRequest {
        service: &service,
        affinity,
        preferred,
        tried: &[],
        size: Some(SIZE),
        version: None,
    };
    let Choice::Use { server, basis } = backends.choose(&request, now) else {
        panic!("no server is free")
    };
    (server.id.name[2..].parse().expect("a number"), basis)
}

/// Returns the servers chosen for many requests, each of which ends before the next one.
fn choose_many(backends: &mut Backends, preferred: Option<&BackendId>) -> BTreeSet<usize> {
    let one = |_| {
        let (server, _) = choose_for(backends, preferred, NOW);
        backends.end_turn(&server_id(server), SIZE, AttemptEnd::Answered, NOW);
        server
    };
    (0..200).map(one).collect()
}

#[test]
fn own_loads_are_reported_until_attempts_end_and_token_times_once() {
    let mut backends = build_with_token_times(&[FAST_MICROS, FAST_MICROS]);
    assert_eq!(backends.take_own_loads(NOW).len(), 2, "token times of both");
    assert_eq!(backends.take_own_loads(NOW), []);
    let (server, _) = choose_for(&mut backends, None, NOW);
    let report = ServerLoad { in_flight: 1, tokens: 1_280, ..server_load(server, 0, 0) };
    assert_eq!(backends.take_own_loads(NOW), [report]);
    assert_eq!(backends.take_own_loads(NOW), [report], "it has not ended");
    let times = TokenTimes { tokens: 13, micros: 40_000 };
    backends.record_token_times(&server_id(server), times, NOW);
    backends.end_turn(&server_id(server), SIZE, AttemptEnd::Answered, NOW);
    assert_eq!(backends.take_own_loads(NOW), [ServerLoad { times, ..server_load(server, 0, 0) }]);
    assert_eq!(backends.take_own_loads(NOW), []);
}

/// A caller may state any size.
#[test]
fn ending_an_attempt_of_huge_size_keeps_other_reservations() {
    const HUGE: TurnSize = TurnSize { prompt: Tokens(u64::MAX), generated: Tokens(u64::MAX) };
    let mut backends = build_with_token_times(&[FAST_MICROS]);
    let service = service();
    for size in [SIZE, HUGE] {
        let size = Some(size);
        let request = ChoiceRequest {
            service: &service,
            affinity: None,
            preferred: None,
            tried: &[],
            size,
            version: None,
        };
        assert!(matches!(backends.choose(&request, NOW), Choice::Use { .. }));
    }
    backends.end_turn(&server_id(0), HUGE, AttemptEnd::Answered, NOW);
    let remaining = backends.take_own_loads(NOW);
    assert_eq!(remaining.iter().map(|load| load.tokens).collect::<Vec<_>>(), [1_280]);
}

#[test]
fn slow_servers_are_avoided_until_the_fast_ones_are_full() {
    let mut backends = build_with_token_times(&[FAST_MICROS, SLOW_MICROS, FAST_MICROS]);
    assert_eq!(choose_many(&mut backends, None), BTreeSet::from([0, 2]));
    backends.apply_load_view(
        &load_view(vec![server_load(0, 30, 30_000), server_load(2, 30, 30_000)]),
        NOW,
    );
    assert_eq!(choose_many(&mut backends, None), BTreeSet::from([1]));
}

#[test]
fn a_program_stays_where_its_prompt_is_unless_that_is_slow() {
    let mut backends =
        build_with_token_times(&[FAST_MICROS, FAST_MICROS * 5 / 4, SLOW_MICROS, FAST_MICROS]);
    assert_eq!(choose_many(&mut backends, Some(&server_id(1))), BTreeSet::from([1]));
    assert_eq!(choose_many(&mut backends, Some(&server_id(2))), BTreeSet::from([0, 1, 3]));
}

#[test]
fn a_server_without_room_in_its_memory_comes_last() {
    let mut backends = build_with_token_times(&[FAST_MICROS, SLOW_MICROS]);
    backends.apply_load_view(&load_view(vec![server_load(0, 4, MEMORY as u32 - 100)]), NOW);
    assert_eq!(choose_many(&mut backends, None), BTreeSet::from([1]));
    let both = vec![server_load(0, 4, MEMORY as u32), server_load(1, 4, MEMORY as u32)];
    backends.apply_load_view(&load_view(both), NOW + Duration::from_millis(1));
    assert_eq!(choose_many(&mut backends, None), BTreeSet::from([0]), "one of them must take it");
}

#[test]
fn own_attempts_count_at_once() {
    let mut backends = build_with_token_times(&[FAST_MICROS, FAST_MICROS]);
    let servers: Vec<usize> = (0..12).map(|_| choose_for(&mut backends, None, NOW).0).collect();
    let first = servers.iter().filter(|server| **server == 0).count();
    assert!((4..=8).contains(&first), "{servers:?}");
}

#[test]
fn an_old_view_is_ignored() {
    let busy = load_view(vec![server_load(0, 30, 30_000)]);
    let later = NOW + Duration::from_millis(1_500);
    let mut backends = build_with_token_times(&[FAST_MICROS, FAST_MICROS]);
    backends.apply_load_view(&busy, NOW);
    let (_, basis) = choose_for(&mut backends, None, NOW);
    assert_eq!(basis.estimate.expect("an estimate").view_age, Some(Duration::from_millis(20)));
    let (_, basis) = choose_for(&mut backends, None, later);
    assert_eq!(basis.estimate.expect("an estimate").view_age, None);
}

/// A server without a report must not look less loaded than the others.
#[test]
fn a_server_without_a_report_counts_as_loaded_as_the_others() {
    let mut backends = build_with_token_times(&[FAST_MICROS, FAST_MICROS, FAST_MICROS]);
    for server in [0, 1] {
        let loads = vec![server_load(server, 16, 20_000)];
        let own = loads[0].server;
        backends.apply_load_view(&LoadView { range: own..=own, ..load_view(loads) }, NOW);
    }
    assert_eq!(choose_many(&mut backends, None), BTreeSet::from([0, 1, 2]));
}

#[test]
fn the_later_of_two_views_counts_whatever_their_order_of_arrival() {
    let before =
        LoadView { age: Duration::from_millis(90), ..load_view(vec![server_load(0, 30, 30_000)]) };
    let after = load_view(vec![server_load(1, 30, 30_000)]);
    for views in [[&before, &after], [&after, &before]] {
        let mut backends = build_with_token_times(&[FAST_MICROS, FAST_MICROS]);
        views.into_iter().for_each(|view| backends.apply_load_view(view, NOW));
        assert_eq!(choose_many(&mut backends, None), BTreeSet::from([0]));
    }
}

struct BadView {
    name: &'static str,
    view: LoadView,
}

#[test]
fn impossible_loads_are_ignored() {
    let unsorted = |loads| LoadView { loads, ..load_view(Vec::new()) };
    let (mut first, mut second) = (server_load(0, 30, 30_000), server_load(1, 30, 30_000));
    if first.server < second.server {
        std::mem::swap(&mut first, &mut second);
    }
    let none = ServerDigest(0)..=ServerDigest(0);
    let impossible_times = TokenTimes { tokens: 1, micros: u32::MAX };
    let cases = [
        BadView { name: "out of order", view: unsorted(vec![first, second]) },
        BadView { name: "duplicate", view: unsorted(vec![first, first]) },
        BadView {
            name: "outside the range",
            view: LoadView { range: none, ..load_view(vec![server_load(0, 30, 9)]) },
        },
        BadView { name: "too many attempts", view: load_view(vec![server_load(0, u16::MAX, 9)]) },
        BadView {
            name: "tokens without attempts",
            view: load_view(vec![server_load(0, 0, 49_000)]),
        },
        BadView { name: "unknown server", view: load_view(vec![server_load(77, 3, 3_000)]) },
        BadView {
            name: "impossible token times",
            view: load_view(vec![ServerLoad { times: impossible_times, ..server_load(0, 30, 9) }]),
        },
    ];
    for BadView { name, view } in cases {
        let mut backends = build_with_token_times(&[FAST_MICROS, FAST_MICROS]);
        backends.apply_load_view(&view, NOW);
        assert_eq!(choose_many(&mut backends, None), BTreeSet::from([0, 1]), "{name}");
    }
}

#[test]
fn the_load_of_an_ended_incarnation_does_not_count() {
    let mut backends = build_with_token_times(&[FAST_MICROS, FAST_MICROS]);
    let before = server_load(0, 30, 30_000);
    backends.remove(&server_id(0), NOW);
    backends.apply_load_view(&load_view(vec![before]), NOW);
    let next = BackendId::new("i-0", 2);
    let record = BackendRecord {
        id: next.clone(),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("hall-a"),
        slots: SLOTS,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    };
    backends.put(record, NOW);
    backends.apply_load_view(&load_view(vec![before]), NOW);
    assert_eq!(choose_many(&mut backends, None), BTreeSet::from([0, 1]));
}

#[test]
fn expected_ends_decide_only_if_all_conditions_hold() {
    let choice_reason = |backends: &mut Backends, size| {
        let service = service();
        let request = ChoiceRequest {
            service: &service,
            affinity: None,
            preferred: None,
            tried: &[],
            size,
            version: None,
        };
        let Choice::Use { basis, .. } = backends.choose(&request, NOW) else {
            panic!("no server is free")
        };
        basis.reason
    };
    assert_eq!(
        choice_reason(&mut build_with_token_times(&[FAST_MICROS, SLOW_MICROS]), Some(SIZE)),
        ChoiceReason::ExpectedEnd
    );
    assert_eq!(
        choice_reason(&mut build_with_token_times(&[FAST_MICROS, SLOW_MICROS]), None),
        ChoiceReason::Load
    );
    let mut without_engines = build_with_token_times(&[FAST_MICROS, SLOW_MICROS]);
    without_engines.set_engine_capacities(BTreeMap::new());
    assert_eq!(choice_reason(&mut without_engines, Some(SIZE)), ChoiceReason::Load);
    let mut without_token_times = build_backends(2, BackendSettings::default());
    assert_eq!(choice_reason(&mut without_token_times, Some(SIZE)), ChoiceReason::Load);
    let min_gateways = BackendSettings::default().expected_end_gateways as u64;
    let mut few_gateways = build_with_token_times(&[FAST_MICROS, SLOW_MICROS]);
    few_gateways.set_gateways(Gateways::new(0, 0..min_gateways - 1));
    assert_eq!(
        choice_reason(&mut few_gateways, Some(SIZE)),
        ChoiceReason::Load,
        "each gateway sees enough in its own attempts"
    );
    few_gateways.set_gateways(Gateways::new(0, 0..min_gateways));
    assert_eq!(choice_reason(&mut few_gateways, Some(SIZE)), ChoiceReason::ExpectedEnd);
    let off = BackendSettings { by_expected_end: false, ..BackendSettings::default() };
    let mut off = build_backends(2, off);
    off.record_token_times(&server_id(0), TokenTimes { tokens: 500, micros: 1_000_000 }, NOW);
    assert_eq!(choice_reason(&mut off, Some(SIZE)), ChoiceReason::Load);
}
