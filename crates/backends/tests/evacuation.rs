//! Zones that are to be emptied: whose word counts, and where requests go then.

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

/// What the source of orders did: the zone, and whether it was ordered or withdrawn. Places count
/// from revision 1.
type History = Vec<(usize, bool)>;

/// The zones that are ordered after the first `revisions` of a history.
fn truth(history: &History, revisions: usize) -> BTreeMap<Zone, u64> {
    let mut orders = BTreeMap::new();
    for (place, (zone, is_ordered)) in history.iter().take(revisions).enumerate() {
        let zone = Zone::new(ZONES[*zone]);
        match is_ordered {
            true => orders.insert(zone, place as u64 + 1),
            false => orders.remove(&zone),
        };
    }
    orders
}

/// A list, or another daemon's document: all orders as of a revision.
fn view(history: &History, revisions: usize) -> EvacuationOrders {
    EvacuationOrders::new(revisions as u64, truth(history, revisions))
}

/// Changes between two revisions, as a watch or a report tells them.
fn watch(orders: &mut EvacuationOrders, history: &History, after: usize, at: usize) {
    for (place, (zone, is_ordered)) in history.iter().enumerate().take(at).skip(after) {
        let (zone, revision) = (Zone::new(ZONES[*zone]), place as u64 + 1);
        match is_ordered {
            true => orders.record_order(zone, revision),
            false => orders.record_withdrawal(&zone, revision),
        }
    }
    orders.mark_complete_to(at as u64);
}

fn zones(names: &[&str]) -> BTreeSet<Zone> {
    names.iter().map(|name| Zone::new(*name)).collect()
}

proptest! {
    /// Views of any age in any order, each perhaps more than once: what is known is what was so at
    /// the newest of them.
    #[test]
    fn the_newest_view_counts_in_whatever_order_views_arrive(
        history in prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..12),
        arrivals in prop::collection::vec(any::<prop::sample::Index>(), 1..8),
    ) {
        let mut orders = EvacuationOrders::default();
        let mut newest = 0;
        for arrival in arrivals {
            let revisions = arrival.index(history.len() + 1);
            newest = newest.max(revisions);
            orders.merge(&view(&history, revisions));
            prop_assert_eq!(&orders, &view(&history, newest));
        }
    }

    /// Views and watches that follow on what is known, mixed.
    #[test]
    fn changes_and_views_together_tell_the_truth(
        history in prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..12),
        steps in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 1..10),
    ) {
        let mut orders = EvacuationOrders::default();
        for (is_view, place) in steps {
            let place = place.index(history.len() + 1);
            let known = orders.known_revision() as usize;
            match is_view {
                true => orders.merge(&view(&history, place)),
                // A watch that began before something newer was heard repeats what is known.
                false => watch(&mut orders, &history, place.min(known), place),
            }
            let expected = view(&history, known.max(place));
            prop_assert_eq!(&orders, &expected);
            prop_assert!(orders.is_complete());
        }
    }
}

/// A word of one kind about the zone `a`, which was ordered at 5 and withdrawn at 8.
#[derive(Debug, Clone, Copy)]
enum Word {
    ListBefore,
    ListWithOrder,
    ListAfterWithdrawal,
    /// The watch from a list at 3 on, up to the order.
    Ordered,
    /// The same, up to the withdrawal.
    OrderedAndWithdrawn,
}

impl Word {
    const ALL: [Self; 5] = [
        Self::ListBefore,
        Self::ListWithOrder,
        Self::ListAfterWithdrawal,
        Self::Ordered,
        Self::OrderedAndWithdrawn,
    ];

    fn tell(self, orders: &mut EvacuationOrders) {
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
fn of_two_words_in_each_order_the_newer_counts() {
    for first in Word::ALL {
        for second in Word::ALL {
            let mut orders = EvacuationOrders::default();
            first.tell(&mut orders);
            second.tell(&mut orders);
            let newest = first.known_revision().max(second.known_revision());
            let is_ordered = (5..8).contains(&newest);
            let expected = if is_ordered { zones(&["a"]) } else { BTreeSet::new() };
            assert_eq!(orders.zones(), expected, "{first:?}, then {second:?}");
        }
    }
}

#[test]
fn an_order_met_while_a_list_was_read_holds_until_the_watch_tells_more() {
    let mut orders = EvacuationOrders::default();
    // The list's first page was as of 10; on a later page stood an order of revision 13.
    orders.merge(&EvacuationOrders::new(10, [(Zone::new("a"), 13)]));
    assert_eq!((orders.zones(), orders.is_complete()), (zones(&["a"]), false));
    orders.record_withdrawal(&Zone::new("a"), 11);
    assert_eq!(orders.zones(), zones(&["a"]), "that was an earlier order's withdrawal");
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
    }
}

/// Servers `a-0` and so on of three zones, for a daemon in the zone of that number.
fn fleet(own_zone: usize, seed: u64) -> Backends {
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
    let ask = ChoiceRequest {
        service: &service,
        affinity,
        preferred: preferred.as_ref(),
        tried,
        size: None,
    };
    backends.choose(&ask, NOW)
}

fn used(choice: Choice) -> BackendId {
    match choice {
        Choice::Use { server, .. } => server.id,
        other => panic!("no server was chosen: {other:?}"),
    }
}

/// Whatever ties a request to a server.
fn ties() -> [Option<Affinity>; 4] {
    [
        None,
        Some(Affinity::Program(3)),
        Some(Affinity::Object(4)),
        Some(Affinity::SharedPrompt(SharedPrompt { hash: 5, tokens: 512 })),
    ]
}

#[test]
fn nothing_new_goes_to_an_evacuated_zone_whatever_ties_it_there() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        preferred: Option<&'static str>,
    }
    let cases = [
        Case { name: "the daemon's own zone", evacuated: &["a"], preferred: None },
        Case { name: "where the prompt lies", evacuated: &["b"], preferred: Some("b-1") },
        Case { name: "two zones", evacuated: &["a", "c"], preferred: Some("c-0") },
        Case { name: "a zone without servers", evacuated: &["nowhere"], preferred: None },
    ];
    for Case { name, evacuated, preferred } in cases {
        for tie in ties() {
            let mut backends = fleet(0, 7);
            backends.evacuate(zones(evacuated));
            for _ in 0..20 {
                let server = used(choose(&mut backends, tie, preferred, &[]));
                let (zone, _) = server.name.split_once('-').expect("named by zone");
                assert!(!evacuated.contains(&zone), "{name}, {tie:?}: {server}");
            }
        }
    }
}

#[test]
fn a_second_try_goes_elsewhere_and_a_zone_taken_back_is_used_again() {
    for program in 0..20 {
        let mut backends = fleet(0, 7);
        let program = Some(Affinity::Program(program));
        let first = used(choose(&mut backends, program, Some("b-1"), &[]));
        assert_eq!(first.name, "b-1");
        backends.evacuate(zones(&["b"]));
        backends.end_attempt(&first, AttemptEnd::Broken, NOW);
        let second = used(choose(&mut backends, program, Some("b-1"), &[first]));
        assert!(!second.name.starts_with('b'), "{second}");
        backends.evacuate(BTreeSet::new());
        assert_eq!(used(choose(&mut backends, program, Some("b-2"), &[])).name, "b-2");
    }
}

#[test]
fn with_all_zones_evacuated_a_request_is_refused_at_once_with_a_time_to_come_back() {
    let mut backends = fleet(0, 7);
    backends.evacuate(zones(&ZONES));
    for tie in ties() {
        match choose(&mut backends, tie, Some("a-0"), &[]) {
            Choice::NoBackend { retry_after } => assert!(retry_after > Duration::ZERO),
            other => panic!("{tie:?}: {other:?}"),
        }
    }
}

#[test]
fn what_is_under_way_in_an_evacuated_zone_is_counted_until_it_ends() {
    let mut backends = fleet(0, 7);
    let program = Some(Affinity::Program(3));
    let server = used(choose(&mut backends, program, Some("b-1"), &[]));
    backends.evacuate(zones(&["b", "nowhere"]));
    let left = |backends: &Backends| -> Vec<(String, usize, u32)> {
        let evacuations = backends.evacuations().into_iter();
        evacuations.map(|zone| (zone.zone.to_string(), zone.servers, zone.in_flight)).collect()
    };
    let nowhere = || ("nowhere".to_owned(), 0, 0);
    assert_eq!(left(&backends), vec![("b".to_owned(), SERVERS_PER_ZONE, 1), nowhere()]);
    assert!(!backends.is_leaving_or_gone(&server), "it is only to get nothing further");
    backends.end_attempt(&server, AttemptEnd::Answered, NOW);
    assert_eq!(left(&backends), vec![("b".to_owned(), SERVERS_PER_ZONE, 0), nowhere()]);
    // A server that appears there later counts at once.
    backends.put(record("nowhere-0".to_owned(), "nowhere"), NOW);
    assert_eq!(left(&backends)[1], ("nowhere".to_owned(), 1, 0));
    assert!(backends.is_evacuated(&BackendId::from("nowhere-0")));
}

/// Programs whose prompts lay in one zone, moved all at once by daemons of all zones that know nothing
/// of each other: no server may get half more than its share. Drawn at random, 900 programs give each of
/// 8 servers 112 with a deviation of 10.
#[test]
fn what_moves_spreads_evenly_over_the_other_servers() {
    const DAEMONS: u64 = 18;
    const PROGRAMS: u64 = 50;
    let mut moved: BTreeMap<BackendId, u64> = BTreeMap::new();
    for daemon in 0..DAEMONS {
        let mut backends = fleet(daemon as usize % ZONES.len(), daemon);
        backends.evacuate(zones(&["c"]));
        for program in 0..PROGRAMS {
            let prompt = SharedPrompt { hash: program % 3, tokens: 512 };
            let preferred = format!("c-{}", program % SERVERS_PER_ZONE as u64);
            let tie = Some(Affinity::SharedPrompt(prompt));
            let server = used(choose(&mut backends, tie, Some(&preferred), &[]));
            backends.end_attempt(&server, AttemptEnd::Answered, NOW);
            *moved.entry(server).or_default() += 1;
        }
    }
    let others = (ZONES.len() - 1) * SERVERS_PER_ZONE;
    let share = DAEMONS * PROGRAMS / others as u64;
    assert_eq!(moved.len(), others, "{moved:?}");
    assert!(moved.values().all(|count| *count < share * 3 / 2), "{moved:?}");
}
