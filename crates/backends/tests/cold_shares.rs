//! Shares of what a cold server can handle: invariants for any fleet, and single decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, ColdChange, ColdLimit, Gateways, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Timestamp, Zone};
use proptest::prelude::*;

const START: Timestamp = Timestamp(1_000_000);
const COLD_DURATION: Duration = Duration::from_millis(3_000);
const COLD_PER_S: f64 = 24.0;
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const MAX_PER_S: usize = 41;

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn record(name: &str, born: u64, zone: &str, cold_for: Duration) -> BackendRecord {
    BackendRecord {
        id: BackendId::new(name, born),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new(zone),
        slots: 8,
        state: BackendState::Ready,
        cold_for,
        version: dahlia_backends::SoftwareVersion::default(),
    }
}

/// Creates the gateway `own` among `all`.
fn gateway(own: u64, all: impl IntoIterator<Item = u64>, per_s: Option<f64>) -> Backends {
    let settings = BackendSettings {
        cold_excess: COLD_EXCESS,
        cold_slack: COLD_SLACK,
        ..BackendSettings::default()
    };
    let mut backends = Backends::new(settings, Zone::new("hall-a"), own);
    let limit = per_s.map(|per_s| (service(), ColdLimit { lasts: COLD_DURATION, per_s }));
    backends.set_cold_limits(BTreeMap::from_iter(limit));
    backends.set_gateways(Gateways::new(own, all));
    backends
}

fn choose(backends: &mut Backends, preferred: Option<&BackendId>, now: Timestamp) -> Choice {
    let service = service();
    let affinity = Some(Affinity::SharedPrompt(SharedPrompt { hash: 7, tokens: 512 }));
    backends.choose(
        &ChoiceRequest {
            service: &service,
            affinity,
            preferred,
            tried: &[],
            size: None,
            version: None,
        },
        now,
    )
}

/// A burst of requests at each gateway at once, some time after the server became cold.
#[derive(Debug, Clone)]
struct Burst {
    at_ms: u64,
    requests: usize,
    ends_after_ms: u64,
}

/// Returns when gateways send requests to a cold server that is the only one.
fn simulate_bursts(
    per_s: Option<f64>,
    gateways: u64,
    unknown_gateways: &[u64],
    bursts: &[Burst],
) -> Vec<Timestamp> {
    // Each gateway does not know up to a tenth of the others, and which ones differs between
    // gateways.
    let unknown_gateways = &unknown_gateways[..unknown_gateways.len().min(gateways as usize / 10)];
    let known = |own: u64| {
        let is_known = move |other: &u64| !unknown_gateways.contains(&((other + own) % gateways));
        (0..gateways).filter(is_known)
    };
    let mut fleet: Vec<Backends> =
        (0..gateways).map(|own| gateway(own, known(own), per_s)).collect();
    for backends in &mut fleet {
        backends.put(record("i-1", 1, "hall-a", COLD_DURATION), START);
    }
    let mut bursts = bursts.to_vec();
    bursts.sort_by_key(|burst| burst.at_ms);
    let mut sent = Vec::new();
    for burst in bursts {
        let now = START + Duration::from_millis(burst.at_ms);
        for backends in &mut fleet {
            for _ in 0..burst.requests {
                let Choice::Use { server, .. } = choose(backends, None, now) else { continue };
                sent.push(now);
                let end = now + Duration::from_millis(burst.ends_after_ms);
                backends.end_attempt(&server.id, AttemptEnd::Answered, end);
            }
        }
    }
    sent
}

fn max_per_second(times: &[Timestamp]) -> usize {
    let count_from = |first: &Timestamp| {
        times.iter().filter(|at| *at >= first && at.since(*first) < Duration::from_secs(1)).count()
    };
    times.iter().map(count_from).max().unwrap_or(0)
}

fn any_burst() -> impl Strategy<Value = Burst> {
    (0..2_900_u64, 1..30_usize, 1..400_u64).prop_map(|(at_ms, requests, ends_after_ms)| Burst {
        at_ms,
        requests,
        ends_after_ms,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Holds for any bursts, and with some gateways unknown to each gateway.
    #[test]
    fn bursts_never_exceed_the_limit_in_any_second(
        gateways in 1..370_u64,
        per_s in 0.5..100.0_f64,
        unknown_gateways in proptest::collection::vec(0..370_u64, 0..4),
        bursts in proptest::collection::vec(any_burst(), 1..12),
    ) {
        let max = max_per_second(
            &simulate_bursts(Some(per_s), gateways, &unknown_gateways, &bursts),
        );
        let bound = per_s * COLD_EXCESS + COLD_SLACK;
        prop_assert!(max as f64 <= bound, "{max} of {bound}");
    }
}

/// Shows that the invariant above can fail: without a limit, one burst exceeds the bound.
#[test]
fn without_a_limit_one_burst_exceeds_the_bound() {
    let bursts = [Burst { at_ms: 100, requests: 1, ends_after_ms: 200 }];
    let max = max_per_second(&simulate_bursts(None, 78, &[], &bursts));
    assert!(max > MAX_PER_S, "{max}");
    assert!(max_per_second(&simulate_bursts(Some(COLD_PER_S), 78, &[], &bursts)) <= MAX_PER_S);
}

#[test]
fn the_capacity_of_a_cold_server_is_used_whatever_the_number_of_gateways() {
    for gateways in [1, 7, 30, 78, 370] {
        let bursts: Vec<Burst> =
            (0..29).map(|at| Burst { at_ms: at * 100, requests: 30, ends_after_ms: 50 }).collect();
        let sent = simulate_bursts(Some(COLD_PER_S), gateways, &[], &bursts).len();
        println!("{gateways} gateways: {sent} requests in 2.9 s");
        assert!(sent >= 60, "{gateways} gateways: {sent}");
    }
}

#[test]
fn a_gateway_that_knows_no_others_avoids_cold_servers_and_returns_the_remaining_time() {
    let mut backends = gateway(0, [], Some(COLD_PER_S));
    backends.set_gateways(Gateways::default());
    backends.put(record("i-1", 1, "hall-a", COLD_DURATION), START);
    let later = START + Duration::from_millis(1_000);
    let Choice::Full { retry_after } = choose(&mut backends, None, later) else {
        panic!("it has no share");
    };
    assert_eq!(retry_after, Duration::from_millis(2_000));
    assert_eq!(backends.cold_stats(later).turned_away, 1);
    let warm = START + COLD_DURATION;
    assert!(matches!(choose(&mut backends, None, warm), Choice::Use { .. }));
}

#[test]
fn an_exhausted_share_returns_a_retry_delay() {
    let mut backends = gateway(0, [0], Some(1.0));
    backends.put(record("i-1", 1, "hall-a", COLD_DURATION), START);
    assert!(matches!(choose(&mut backends, None, START), Choice::Use { .. }));
    let later = START + Duration::from_millis(500);
    let Choice::Full { retry_after } = choose(&mut backends, None, later) else {
        panic!("its share is exhausted");
    };
    assert_eq!(retry_after, Duration::from_millis(750));
    let then = later + retry_after;
    assert!(matches!(choose(&mut backends, None, then), Choice::Use { .. }));
}

#[test]
fn a_turn_whose_preferred_server_is_cold_and_closed_goes_elsewhere() {
    let mut backends = gateway(0, [], Some(COLD_PER_S));
    backends.set_gateways(Gateways::default());
    backends.put(record("i-1", 1, "hall-a", Duration::ZERO), START);
    backends.put(record("i-2", 1, "hall-a", Duration::ZERO), START);
    let preferred = BackendId::new("i-1", 1);
    let Choice::Use { server, .. } = choose(&mut backends, Some(&preferred), START) else {
        panic!("it is warm");
    };
    assert_eq!(server.id, preferred);
    // The server becomes cold within the same incarnation, while that turn is running.
    backends.put(record("i-1", 1, "hall-a", COLD_DURATION), START);
    let Choice::Use { server, .. } = choose(&mut backends, Some(&preferred), START) else {
        panic!("another one is warm");
    };
    assert_eq!(server.id.name, "i-2");
    assert_eq!(backends.cold_stats(START).cold, 1);
}

#[test]
fn each_cold_change_is_reported_once_and_a_late_zero_does_not_end_a_cold_period() {
    let mut backends = gateway(0, [0], Some(COLD_PER_S));
    let id = BackendId::new("i-1", 1);
    let change = |is_cold| vec![ColdChange { server: id.clone(), is_cold }];
    backends.put(record("i-1", 1, "hall-a", COLD_DURATION), START);
    assert_eq!(backends.take_cold_changes(START), change(true));
    backends.put(record("i-1", 1, "hall-a", Duration::ZERO), START + Duration::from_millis(10));
    assert_eq!(backends.take_cold_changes(START + Duration::from_millis(2_999)), []);
    assert_eq!(backends.take_cold_changes(START + COLD_DURATION), change(false));
}

#[test]
fn only_servers_of_the_presumed_cold_zone_become_cold() {
    let mut backends = gateway(0, [0], Some(COLD_PER_S));
    backends.put(record("i-1", 1, "hall-a", Duration::ZERO), START);
    backends.put(record("i-2", 1, "hall-b", Duration::ZERO), START);
    backends.presume_cold(&Zone::new("hall-b"), START);
    let change = ColdChange { server: BackendId::new("i-2", 1), is_cold: true };
    assert_eq!(backends.take_cold_changes(START), [change]);
}

#[test]
fn without_a_limit_cold_servers_are_treated_like_others() {
    let mut backends = gateway(0, [], None);
    backends.set_gateways(Gateways::default());
    backends.put(record("i-1", 1, "hall-a", COLD_DURATION), START);
    for _ in 0..10 {
        assert!(matches!(choose(&mut backends, None, START), Choice::Use { .. }));
    }
    assert_eq!(backends.cold_stats(START).cold, 0);
}

/// Guards against a new server that looks idle to all gateways at the same moment. Gateways that
/// have some load of their own must send their first request to it at different moments.
#[test]
fn a_new_server_without_a_limit_does_not_attract_all_gateways_at_once() {
    const GATEWAYS: u64 = 78;
    const OTHERS: u64 = 48;
    let mut first_choices = 0;
    for own in 0..GATEWAYS {
        let mut backends = gateway(own, 0..GATEWAYS, None);
        (0..OTHERS).for_each(|n| {
            backends.put(record(&format!("i-{n}"), 1, "hall-a", Duration::ZERO), START)
        });
        for request in 0..100 {
            let now = START + Duration::from_millis(request * 100);
            let Choice::Use { server, .. } = choose(&mut backends, None, now) else {
                panic!("no server takes the request")
            };
            backends.end_attempt(&server.id, AttemptEnd::Answered, now + Duration::from_millis(90));
        }
        let now = START + Duration::from_millis(10_000);
        let new = record("i-new", 2, "hall-a", Duration::ZERO);
        backends.put(new.clone(), now);
        let Choice::Use { server, .. } = choose(&mut backends, None, now) else {
            panic!("no server takes the request")
        };
        first_choices += usize::from(server.id == new.id);
    }
    println!("{first_choices} of {GATEWAYS} gateways send their next request to the new server");
    assert!(first_choices <= 10, "{first_choices}");
}
