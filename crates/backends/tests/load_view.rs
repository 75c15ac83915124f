//! What a daemon tells of servers' loads, what it takes in from others, and the choice by expected ends.

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
const ALL: RangeInclusive<ServerDigest> = ServerDigest(0)..=ServerDigest(u64::MAX);
const FAST: u32 = 2_000;
const SLOW: u32 = 9_000;

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn id(server: usize) -> BackendId {
    BackendId::new(format!("i-{server}"), 1)
}

fn table(servers: usize, settings: BackendSettings) -> Backends {
    let mut backends = Backends::new(settings, Zone::new("hall-a"), 7);
    let engine = EngineCapacity { memory: Tokens(MEMORY) };
    backends.set_engine_capacities(BTreeMap::from([(service(), engine)]));
    for server in 0..servers {
        let record = BackendRecord {
            id: id(server),
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: Zone::new("hall-a"),
            slots: SLOTS,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
        };
        backends.put(record, NOW);
    }
    backends
}

/// A table of which each server's pace is known, in microseconds a token.
fn paced(paces: &[u32]) -> Backends {
    let mut backends = table(paces.len(), BackendSettings::default());
    for (server, micros) in paces.iter().enumerate() {
        let times = TokenTimes { tokens: 500, micros: 500 * micros };
        backends.record_token_times(&id(server), times, NOW);
    }
    backends
}

fn load(server: usize, in_flight: u16, tokens: u32) -> ServerLoad {
    ServerLoad {
        server: ServerDigest::of(&id(server)),
        in_flight,
        tokens,
        times: TokenTimes::default(),
    }
}

fn view(mut loads: Vec<ServerLoad>) -> LoadView {
    loads.sort_by_key(|load| load.server);
    LoadView { range: ALL, loads, age: Duration::from_millis(20) }
}

fn choose_for(
    backends: &mut Backends,
    preferred: Option<&BackendId>,
    now: Timestamp,
) -> (usize, ChoiceBasis) {
    let service = service();
    let affinity = Some(Affinity::Program(1));
    let ask =
        ChoiceRequest { service: &service, affinity, preferred, tried: &[], size: Some(SIZE) };
    let Choice::Use { server, basis } = backends.choose(&ask, now) else { panic!("one is free") };
    (server.id.name[2..].parse().expect("a number"), basis)
}

/// The servers of many requests, each ended before the next one.
fn chosen(backends: &mut Backends, preferred: Option<&BackendId>) -> BTreeSet<usize> {
    let one = |_| {
        let (server, _) = choose_for(backends, preferred, NOW);
        backends.end_turn(&id(server), SIZE, AttemptEnd::Answered, NOW);
        server
    };
    (0..200).map(one).collect()
}

#[test]
fn own_loads_are_told_while_they_last_and_times_once() {
    let mut backends = paced(&[FAST, FAST]);
    assert_eq!(backends.take_own_loads(NOW).len(), 2, "times of both");
    assert_eq!(backends.take_own_loads(NOW), []);
    let (server, _) = choose_for(&mut backends, None, NOW);
    let told = ServerLoad { in_flight: 1, tokens: 1_280, ..load(server, 0, 0) };
    assert_eq!(backends.take_own_loads(NOW), [told]);
    assert_eq!(backends.take_own_loads(NOW), [told], "it has not ended");
    let times = TokenTimes { tokens: 13, micros: 40_000 };
    backends.record_token_times(&id(server), times, NOW);
    backends.end_turn(&id(server), SIZE, AttemptEnd::Answered, NOW);
    assert_eq!(backends.take_own_loads(NOW), [ServerLoad { times, ..load(server, 0, 0) }]);
    assert_eq!(backends.take_own_loads(NOW), []);
}

/// What a caller states may be any number.
#[test]
fn a_huge_stated_size_takes_no_others_tokens_along() {
    const HUGE: TurnSize = TurnSize { prompt: Tokens(u64::MAX), generated: Tokens(u64::MAX) };
    let mut backends = paced(&[FAST]);
    let service = service();
    for size in [SIZE, HUGE] {
        let size = Some(size);
        let ask =
            ChoiceRequest { service: &service, affinity: None, preferred: None, tried: &[], size };
        assert!(matches!(backends.choose(&ask, NOW), Choice::Use { .. }));
    }
    backends.end_turn(&id(0), HUGE, AttemptEnd::Answered, NOW);
    let left = backends.take_own_loads(NOW);
    assert_eq!(left.iter().map(|load| load.tokens).collect::<Vec<_>>(), [1_280]);
}

#[test]
fn slow_servers_are_left_alone_until_the_fast_ones_are_full() {
    let mut backends = paced(&[FAST, SLOW, FAST]);
    assert_eq!(chosen(&mut backends, None), BTreeSet::from([0, 2]));
    backends.apply_load_view(&view(vec![load(0, 30, 30_000), load(2, 30, 30_000)]), NOW);
    assert_eq!(chosen(&mut backends, None), BTreeSet::from([1]));
}

#[test]
fn a_program_stays_where_its_prompt_is_unless_that_is_slow() {
    let mut backends = paced(&[FAST, FAST * 5 / 4, SLOW, FAST]);
    assert_eq!(chosen(&mut backends, Some(&id(1))), BTreeSet::from([1]));
    assert_eq!(chosen(&mut backends, Some(&id(2))), BTreeSet::from([0, 1, 3]));
}

#[test]
fn a_server_without_room_in_its_memory_comes_last() {
    let mut backends = paced(&[FAST, SLOW]);
    backends.apply_load_view(&view(vec![load(0, 4, MEMORY as u32 - 100)]), NOW);
    assert_eq!(chosen(&mut backends, None), BTreeSet::from([1]));
    let both = vec![load(0, 4, MEMORY as u32), load(1, 4, MEMORY as u32)];
    backends.apply_load_view(&view(both), NOW + Duration::from_millis(1));
    assert_eq!(chosen(&mut backends, None), BTreeSet::from([0]), "one of them must take it");
}

#[test]
fn own_attempts_count_at_once() {
    let mut backends = paced(&[FAST, FAST]);
    let places: Vec<usize> = (0..12).map(|_| choose_for(&mut backends, None, NOW).0).collect();
    let first = places.iter().filter(|server| **server == 0).count();
    assert!((4..=8).contains(&first), "{places:?}");
}

#[test]
fn an_old_view_counts_for_nothing() {
    let busy = view(vec![load(0, 30, 30_000)]);
    let later = NOW + Duration::from_millis(1_500);
    let mut backends = paced(&[FAST, FAST]);
    backends.apply_load_view(&busy, NOW);
    let (_, basis) = choose_for(&mut backends, None, NOW);
    assert_eq!(basis.estimate.expect("it decides").view_age, Some(Duration::from_millis(20)));
    let (_, basis) = choose_for(&mut backends, None, later);
    assert_eq!(basis.estimate.expect("it decides").view_age, None);
}

/// A server of which nothing was heard is no emptier than the others, as far as anyone knows.
#[test]
fn a_server_without_a_report_counts_as_loaded_as_the_others() {
    let mut backends = paced(&[FAST, FAST, FAST]);
    for server in [0, 1] {
        let loads = vec![load(server, 16, 20_000)];
        let own = loads[0].server;
        backends.apply_load_view(&LoadView { range: own..=own, ..view(loads) }, NOW);
    }
    assert_eq!(chosen(&mut backends, None), BTreeSet::from([0, 1, 2]));
}

#[test]
fn the_later_of_two_views_counts_in_whichever_order_they_come() {
    let before = LoadView { age: Duration::from_millis(90), ..view(vec![load(0, 30, 30_000)]) };
    let after = view(vec![load(1, 30, 30_000)]);
    for views in [[&before, &after], [&after, &before]] {
        let mut backends = paced(&[FAST, FAST]);
        views.into_iter().for_each(|view| backends.apply_load_view(view, NOW));
        assert_eq!(chosen(&mut backends, None), BTreeSet::from([0]));
    }
}

struct BadView {
    name: &'static str,
    view: LoadView,
}

#[test]
fn figures_that_cannot_be_change_nothing() {
    let unsorted = |loads| LoadView { loads, ..view(Vec::new()) };
    let (mut first, mut second) = (load(0, 30, 30_000), load(1, 30, 30_000));
    if first.server < second.server {
        std::mem::swap(&mut first, &mut second);
    }
    let none = ServerDigest(0)..=ServerDigest(0);
    let endless = TokenTimes { tokens: 1, micros: u32::MAX };
    let cases = [
        BadView { name: "out of order", view: unsorted(vec![first, second]) },
        BadView { name: "twice", view: unsorted(vec![first, first]) },
        BadView { name: "outside", view: LoadView { range: none, ..view(vec![load(0, 30, 9)]) } },
        BadView { name: "too many", view: view(vec![load(0, u16::MAX, 9)]) },
        BadView { name: "no attempt", view: view(vec![load(0, 0, 49_000)]) },
        BadView { name: "unknown", view: view(vec![load(77, 3, 3_000)]) },
        BadView {
            name: "endless",
            view: view(vec![ServerLoad { times: endless, ..load(0, 30, 9) }]),
        },
    ];
    for BadView { name, view } in cases {
        let mut backends = paced(&[FAST, FAST]);
        backends.apply_load_view(&view, NOW);
        assert_eq!(chosen(&mut backends, None), BTreeSet::from([0, 1]), "{name}");
    }
}

#[test]
fn a_life_that_has_ended_takes_its_load_along() {
    let mut backends = paced(&[FAST, FAST]);
    let before = load(0, 30, 30_000);
    backends.remove(&id(0), NOW);
    backends.apply_load_view(&view(vec![before]), NOW);
    let next = BackendId::new("i-0", 2);
    let record = BackendRecord {
        id: next.clone(),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("hall-a"),
        slots: SLOTS,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
    };
    backends.put(record, NOW);
    backends.apply_load_view(&view(vec![before]), NOW);
    assert_eq!(chosen(&mut backends, None), BTreeSet::from([0, 1]));
}

#[test]
fn only_what_asks_for_it_is_chosen_by_expected_end() {
    let ways = |backends: &mut Backends, size| {
        let service = service();
        let ask =
            ChoiceRequest { service: &service, affinity: None, preferred: None, tried: &[], size };
        let Choice::Use { basis, .. } = backends.choose(&ask, NOW) else { panic!("one is free") };
        basis.reason
    };
    assert_eq!(ways(&mut paced(&[FAST, SLOW]), Some(SIZE)), ChoiceReason::ExpectedEnd);
    assert_eq!(ways(&mut paced(&[FAST, SLOW]), None), ChoiceReason::Load);
    let mut plain = paced(&[FAST, SLOW]);
    plain.set_engine_capacities(BTreeMap::new());
    assert_eq!(ways(&mut plain, Some(SIZE)), ChoiceReason::Load);
    let mut unknown = table(2, BackendSettings::default());
    assert_eq!(ways(&mut unknown, Some(SIZE)), ChoiceReason::Load);
    let fewest = BackendSettings::default().expected_end_gateways as u64;
    let mut few = paced(&[FAST, SLOW]);
    few.set_gateways(Gateways::new(0, 0..fewest - 1));
    assert_eq!(ways(&mut few, Some(SIZE)), ChoiceReason::Load, "each gateway sees enough itself");
    few.set_gateways(Gateways::new(0, 0..fewest));
    assert_eq!(ways(&mut few, Some(SIZE)), ChoiceReason::ExpectedEnd);
    let off = BackendSettings { by_expected_end: false, ..BackendSettings::default() };
    let mut off = table(2, off);
    off.record_token_times(&id(0), TokenTimes { tokens: 500, micros: 1_000_000 }, NOW);
    assert_eq!(ways(&mut off, Some(SIZE)), ChoiceReason::Load);
}
