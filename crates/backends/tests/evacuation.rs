//! Evacuated zones: how reports of orders are merged, and where requests go.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, EvacuationOrders, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Timestamp, Zone};
use proptest::prelude::*;

const NOW: Timestamp = Timestamp(1_000_000);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVERS_PER_ZONE: usize = 4;

/// The changes at the source of orders: the zone, and whether it was ordered or withdrawn. The
/// first change has revision 1.
type History = Vec<(usize, bool)>;

/// Returns the orders in force after the first `revisions` changes, with their revisions.
fn orders_after(history: &History, revisions: usize) -> BTreeMap<Zone, u64> {
    let mut orders = BTreeMap::new();
    for (index, (zone, is_ordered)) in history.iter().take(revisions).enumerate() {
        let zone = Zone::new(ZONES[*zone]);
        match is_ordered {
            true => orders.insert(zone, index as u64 + 1),
            false => orders.remove(&zone),
        };
    }
    orders
}

/// A listing, or another daemon's document: all orders as of a revision.
fn view_at(history: &History, revisions: usize) -> EvacuationOrders {
    EvacuationOrders::new(revisions as u64, orders_after(history, revisions))
}

/// Applies the changes between two revisions, as a watch or a report does.
fn apply_changes(orders: &mut EvacuationOrders, history: &History, after: usize, at: usize) {
    for (index, (zone, is_ordered)) in history.iter().enumerate().take(at).skip(after) {
        let (zone, revision) = (Zone::new(ZONES[*zone]), index as u64 + 1);
        match is_ordered {
            true => orders.record_order(zone, revision),
            false => orders.record_withdrawal(&zone, revision),
        }
    }
    orders.mark_complete_to(at as u64);
}

fn zone_set(names: &[&str]) -> BTreeSet<Zone> {
    names.iter().map(|name| Zone::new(*name)).collect()
}

proptest! {
    /// Views of any age arrive in any order, possibly more than once. The result equals the newest
    /// of them.
    #[test]
    fn the_newest_view_counts_whatever_the_order_of_arrival(
        history in prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..12),
        arrivals in prop::collection::vec(any::<prop::sample::Index>(), 1..8),
    ) {
        let mut orders = EvacuationOrders::default();
        let mut newest = 0;
        for arrival in arrivals {
            let revisions = arrival.index(history.len() + 1);
            newest = newest.max(revisions);
            orders.merge(&view_at(&history, revisions));
            prop_assert_eq!(&orders, &view_at(&history, newest));
        }
    }

    /// Views are mixed with watches that continue from the known revision.
    #[test]
    fn changes_and_views_together_yield_the_current_orders(
        history in prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..12),
        steps in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 1..10),
    ) {
        let mut orders = EvacuationOrders::default();
        for (is_view, index) in steps {
            let index = index.index(history.len() + 1);
            let known = orders.known_revision() as usize;
            match is_view {
                true => orders.merge(&view_at(&history, index)),
                // A watch that began before a newer view arrived repeats known changes.
                false => apply_changes(&mut orders, &history, index.min(known), index),
            }
            let expected = view_at(&history, known.max(index));
            prop_assert_eq!(&orders, &expected);
            prop_assert!(orders.is_complete());
        }
    }
}

/// A report about the zone `a`, which was ordered at revision 5 and withdrawn at 8.
#[derive(Debug, Clone, Copy)]
enum OrderReport {
    ListBefore,
    ListWithOrder,
    ListAfterWithdrawal,
    /// A watch from a listing at 3 up to the order.
    Ordered,
    /// The same watch up to the withdrawal.
    OrderedAndWithdrawn,
}

impl OrderReport {
    const ALL: [Self; 5] = [
        Self::ListBefore,
        Self::ListWithOrder,
        Self::ListAfterWithdrawal,
        Self::Ordered,
        Self::OrderedAndWithdrawn,
    ];

    fn apply_to(self, orders: &mut EvacuationOrders) {
        let zone = Zone::new("a");
        match self {
            Self::ListBefore => orders.merge(&EvacuationOrders::new(3, [])),
            Self::ListWithOrder => orders.merge(&EvacuationOrders::new(6, [(zone, 5)])),
            Self::ListAfterWithdrawal => orders.merge(&EvacuationOrders::new(9, [])),
            Self::Ordered => {
                orders.record_order(zone, 5);
                orders.mark_complete_to(5);
            }
            Self::OrderedAndWithdrawn => {
                orders.record_order(zone.clone(), 5);
                orders.record_withdrawal(&zone, 8);
                orders.mark_complete_to(8);
            }
        }
    }

    fn known_revision(self) -> u64 {
        match self {
            Self::ListBefore => 3,
            Self::ListWithOrder => 6,
            Self::ListAfterWithdrawal => 9,
            Self::Ordered => 5,
            Self::OrderedAndWithdrawn => 8,
        }
    }
}

#[test]
fn the_newer_of_two_reports_counts_in_either_order() {
    for first in OrderReport::ALL {
        for second in OrderReport::ALL {
            let mut orders = EvacuationOrders::default();
            first.apply_to(&mut orders);
            second.apply_to(&mut orders);
            let newest = first.known_revision().max(second.known_revision());
            let is_ordered = (5..8).contains(&newest);
            let expected = if is_ordered { zone_set(&["a"]) } else { BTreeSet::new() };
            assert_eq!(orders.zones(), expected, "{first:?}, then {second:?}");
        }
    }
}

#[test]
fn an_order_seen_during_a_listing_holds_until_a_later_withdrawal() {
    let mut orders = EvacuationOrders::default();
    // The first page of the listing was read at revision 10, and a later page contained an order of
    // revision 13.
    orders.merge(&EvacuationOrders::new(10, [(Zone::new("a"), 13)]));
    assert_eq!((orders.zones(), orders.is_complete()), (zone_set(&["a"]), false));
    orders.record_withdrawal(&Zone::new("a"), 11);
    assert_eq!(orders.zones(), zone_set(&["a"]), "that withdrawal belongs to an earlier order");
    orders.mark_complete_to(14);
    assert!(orders.is_complete());
    orders.record_withdrawal(&Zone::new("a"), 15);
    assert_eq!(orders.zones(), BTreeSet::new());
}

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn record(name: String, zone: &str) -> BackendRecord {
    BackendRecord {
        id: BackendId::new(name, 0),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new(zone),
        slots: 8,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    }
}

/// Creates servers `a-0` and so on in three zones, for a daemon in the zone with that index.
fn build_backends(own_zone: usize, seed: u64) -> Backends {
    let own_zone = Zone::new(ZONES[own_zone]);
    let mut backends = Backends::new(BackendSettings::default(), own_zone, seed);
    for zone in ZONES {
        for number in 0..SERVERS_PER_ZONE {
            backends.put(record(format!("{zone}-{number}"), zone), NOW);
        }
    }
    backends
}

fn choose(
    backends: &mut Backends,
    affinity: Option<Affinity>,
    preferred: Option<&str>,
    tried: &[BackendId],
) -> Choice {
    let preferred = preferred.map(BackendId::from);
    let service = service();
    let request = ChoiceRequest {
        service: &service,
        affinity,
        preferred: preferred.as_ref(),
        tried,
        size: None,
        version: None,
    };
    backends.choose(&request, NOW)
}

fn chosen_server(choice: Choice) -> BackendId {
    match choice {
        Choice::Use { server, .. } => server.id,
        other => panic!("no server was chosen: {other:?}"),
    }
}

/// Returns every kind of affinity, and none.
fn affinities() -> [Option<Affinity>; 4] {
    [
        None,
        Some(Affinity::Program(3)),
        Some(Affinity::Object(4)),
        Some(Affinity::SharedPrompt(SharedPrompt { hash: 5, tokens: 512 })),
    ]
}

#[test]
fn no_new_request_goes_to_an_evacuated_zone_whatever_its_affinity() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        preferred: Option<&'static str>,
    }
    let cases = [
        Case { name: "the daemon's own zone", evacuated: &["a"], preferred: None },
        Case { name: "the zone that holds the prompt", evacuated: &["b"], preferred: Some("b-1") },
        Case { name: "two zones", evacuated: &["a", "c"], preferred: Some("c-0") },
        Case { name: "a zone without servers", evacuated: &["nowhere"], preferred: None },
    ];
    for Case { name, evacuated, preferred } in cases {
        for affinity in affinities() {
            let mut backends = build_backends(0, 7);
            backends.evacuate(zone_set(evacuated));
            for _ in 0..20 {
                let server = chosen_server(choose(&mut backends, affinity, preferred, &[]));
                let (zone, _) = server.name.split_once('-').expect("named by zone");
                assert!(!evacuated.contains(&zone), "{name}, {affinity:?}: {server}");
            }
        }
    }
}

#[test]
fn a_second_attempt_goes_elsewhere_and_a_restored_zone_is_used_again() {
    for program in 0..20 {
        let mut backends = build_backends(0, 7);
        let program = Some(Affinity::Program(program));
        let first = chosen_server(choose(&mut backends, program, Some("b-1"), &[]));
        assert_eq!(first.name, "b-1");
        backends.evacuate(zone_set(&["b"]));
        backends.end_attempt(&first, AttemptEnd::Broken, NOW);
        let second = chosen_server(choose(&mut backends, program, Some("b-1"), &[first]));
        assert!(!second.name.starts_with('b'), "{second}");
        backends.evacuate(BTreeSet::new());
        assert_eq!(chosen_server(choose(&mut backends, program, Some("b-2"), &[])).name, "b-2");
    }
}

#[test]
fn with_all_zones_evacuated_a_request_is_refused_with_a_retry_delay() {
    let mut backends = build_backends(0, 7);
    backends.evacuate(zone_set(&ZONES));
    for affinity in affinities() {
        match choose(&mut backends, affinity, Some("a-0"), &[]) {
            Choice::NoBackend { retry_after } => assert!(retry_after > Duration::ZERO),
            other => panic!("{affinity:?}: {other:?}"),
        }
    }
}

#[test]
fn running_attempts_in_an_evacuated_zone_are_counted_until_they_end() {
    let mut backends = build_backends(0, 7);
    let program = Some(Affinity::Program(3));
    let server = chosen_server(choose(&mut backends, program, Some("b-1"), &[]));
    backends.evacuate(zone_set(&["b", "nowhere"]));
    let remaining = |backends: &Backends| -> Vec<(String, usize, u32)> {
        let evacuations = backends.evacuations().into_iter();
        evacuations.map(|zone| (zone.zone.to_string(), zone.servers, zone.in_flight)).collect()
    };
    let nowhere = || ("nowhere".to_owned(), 0, 0);
    assert_eq!(remaining(&backends), vec![("b".to_owned(), SERVERS_PER_ZONE, 1), nowhere()]);
    assert!(!backends.is_leaving_or_gone(&server), "it only gets no new requests");
    backends.end_attempt(&server, AttemptEnd::Answered, NOW);
    assert_eq!(remaining(&backends), vec![("b".to_owned(), SERVERS_PER_ZONE, 0), nowhere()]);
    // A server that is added there later counts at once.
    backends.put(record("nowhere-0".to_owned(), "nowhere"), NOW);
    assert_eq!(remaining(&backends)[1], ("nowhere".to_owned(), 1, 0));
    assert!(backends.is_evacuated(&BackendId::from("nowhere-0")));
}

/// Programs whose prompts are held in one zone are moved all at once, by daemons of all zones that
/// do not coordinate. No server may receive half more than its share. If drawn at random, 900
/// programs give each of 8 servers 112 with a standard deviation of 10.
#[test]
fn moved_programs_spread_evenly_over_the_other_servers() {
    const DAEMONS: u64 = 18;
    const PROGRAMS: u64 = 50;
    let mut moved: BTreeMap<BackendId, u64> = BTreeMap::new();
    for daemon in 0..DAEMONS {
        let mut backends = build_backends(daemon as usize % ZONES.len(), daemon);
        backends.evacuate(zone_set(&["c"]));
        for program in 0..PROGRAMS {
            let prompt = SharedPrompt { hash: program % 3, tokens: 512 };
            let preferred = format!("c-{}", program % SERVERS_PER_ZONE as u64);
            let affinity = Some(Affinity::SharedPrompt(prompt));
            let server = chosen_server(choose(&mut backends, affinity, Some(&preferred), &[]));
            backends.end_attempt(&server, AttemptEnd::Answered, NOW);
            *moved.entry(server).or_default() += 1;
        }
    }
    let others = (ZONES.len() - 1) * SERVERS_PER_ZONE;
    let share = DAEMONS * PROGRAMS / others as u64;
    assert_eq!(moved.len(), others, "{moved:?}");
    assert!(moved.values().all(|count| *count < share * 3 / 2), "{moved:?}");
}
