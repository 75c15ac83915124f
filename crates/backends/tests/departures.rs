//! Servers that have left are not brought back by late news.

use std::net::SocketAddr;

use dahlia_backends::{
    AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends, Choice,
    ChoiceRequest, Departure, ServiceName, SoftwareVersion,
};
use dahlia_types::{Duration, Timestamp, Zone};

const START: Timestamp = Timestamp(1_000_000);
/// The time after which a server that had disappeared gets work again.
const PROBATION: Duration = Duration::from_millis(6_000);

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn record(server: u16, state: BackendState) -> BackendRecord {
    BackendRecord {
        id: id(server),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], server)),
        zone: Zone::new("hall-a"),
        slots: 2,
        state,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    }
}

fn id(server: u16) -> BackendId {
    BackendId::new(format!("i-{server}"), 7)
}

fn backends_with(servers: u16) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), 1);
    (1..=servers).for_each(|server| backends.put(record(server, BackendState::Ready), START));
    backends
}

/// The servers that requests get at a time, of many.
fn chosen_servers(backends: &mut Backends, now: Timestamp) -> Vec<BackendId> {
    let service = service();
    let request = ChoiceRequest {
        service: &service,
        affinity: None,
        preferred: None,
        tried: &[],
        size: None,
        version: None,
    };
    let mut chosen = Vec::new();
    for _ in 0..50 {
        if let Choice::Use { server, .. } = backends.choose(&request, now) {
            backends.end_attempt(&server.id, AttemptEnd::Answered, now);
            chosen.push(server.id);
        }
    }
    chosen.sort();
    chosen.dedup();
    chosen
}

struct AnnouncedCase {
    name: &'static str,
    leave: fn(&mut Backends),
}

/// Guards against requests at a server that had announced that it leaves, when an older record of the same incarnation
/// arrives after that.
#[test]
fn no_later_record_takes_back_an_announced_leave() {
    let cases = [
        AnnouncedCase {
            name: "draining",
            leave: |backends| backends.put(record(1, BackendState::Draining), START),
        },
        AnnouncedCase {
            name: "draining, then gone",
            leave: |backends| {
                backends.put(record(1, BackendState::Draining), START);
                backends.remove(&id(1), START);
            },
        },
        AnnouncedCase {
            name: "told in an answer, then gone",
            leave: |backends| {
                backends.end_attempt(&id(1), AttemptEnd::Leaving, START);
                backends.remove(&id(1), START);
            },
        },
    ];
    for AnnouncedCase { name, leave } in cases {
        let mut backends = backends_with(2);
        leave(&mut backends);
        let later = START + Duration::from_secs(1);
        backends.put(record(1, BackendState::Ready), later);
        for now in [later, later + PROBATION, later + PROBATION + PROBATION] {
            assert_eq!(chosen_servers(&mut backends, now), [id(2)], "{name}, at {now:?}");
        }
        assert_eq!(backends.departure(&id(1)), Some(Departure::Announced), "{name}");
        assert!(backends.is_leaving_or_gone(&id(1)), "{name}");
    }
}

/// Guards against requests at a server whose entry went, when its last call to discovery takes effect after that.
#[test]
fn a_server_that_disappeared_gets_work_once_it_has_stayed_listed() {
    let mut backends = backends_with(3);
    backends.remove(&id(1), START);
    let later = START + Duration::from_secs(1);
    backends.put(record(1, BackendState::Ready), later);
    let just_before = later + Duration::from_millis(5_999);
    assert_eq!(chosen_servers(&mut backends, just_before), [id(2), id(3)]);
    // A further record of the same server begins no new probation.
    backends.put(BackendRecord { slots: 3, ..record(1, BackendState::Ready) }, just_before);
    assert_eq!(chosen_servers(&mut backends, later + PROBATION), [id(1), id(2), id(3)]);
    // What lapses meanwhile was no sign of life.
    backends.remove(&id(1), later + PROBATION);
    backends.put(record(1, BackendState::Ready), later + PROBATION);
    assert_eq!(chosen_servers(&mut backends, later + PROBATION), [id(2), id(3)]);
}

/// Guards against a service without servers after most of its servers disappeared and came back together.
#[test]
fn servers_that_come_back_in_numbers_get_work_at_once() {
    let mut backends = backends_with(3);
    for server in [1, 2] {
        backends.remove(&id(server), START);
        backends.put(record(server, BackendState::Ready), START);
    }
    assert_eq!(chosen_servers(&mut backends, START), [id(1), id(2), id(3)]);
    let mut only = backends_with(1);
    only.remove(&id(1), START);
    only.put(record(1, BackendState::Ready), START);
    assert_eq!(chosen_servers(&mut only, START), [id(1)]);
}

/// Guards against a zone without servers for seconds after it was cut off from discovery.
#[test]
fn servers_of_a_zone_that_come_back_in_numbers_get_work_at_once() {
    let in_zone = |server: u16| {
        let zone = Zone::new(if server <= 4 { "hall-b" } else { "hall-a" });
        BackendRecord { zone, ..record(server, BackendState::Ready) }
    };
    let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-b"), 1);
    (1..=10).for_each(|server| backends.put(in_zone(server), START));
    (1..=4).for_each(|server| backends.remove(&id(server), START));
    backends.put(in_zone(1), START);
    backends.put(in_zone(2), START);
    let others: Vec<BackendId> = [10, 5, 6, 7, 8, 9].map(id).to_vec();
    assert_eq!(chosen_servers(&mut backends, START), others, "two may be late news");
    backends.put(in_zone(3), START);
    let chosen = chosen_servers(&mut backends, START);
    assert!([1, 2, 3].iter().all(|server| chosen.contains(&id(*server))), "{chosen:?}");
}

/// Guards against requests at a server that has left, whose late call lists it as ready again: those that were bound to its
/// version went there. A caller learns at once how long it takes until the server is known to live.
#[test]
fn a_request_for_one_version_is_refused_while_its_only_server_is_on_probation() {
    let mut backends = backends_with(3);
    let old = SoftwareVersion::Named("v1".into());
    let of_old_version = BackendRecord { version: old.clone(), ..record(1, BackendState::Ready) };
    backends.put(of_old_version.clone(), START);
    backends.remove(&id(1), START);
    backends.put(of_old_version, START);
    let service = service();
    let mut request = ChoiceRequest {
        service: &service,
        affinity: None,
        preferred: None,
        tried: &[],
        size: None,
        version: old.digest(),
    };
    let just_before = START + Duration::from_millis(5_999);
    let refused = backends.choose(&request, START);
    assert!(matches!(refused, Choice::Full { retry_after } if retry_after == PROBATION));
    assert!(matches!(backends.choose(&request, just_before), Choice::Full { .. }));
    // Another server of the version takes it.
    backends.put(BackendRecord { version: old.clone(), ..record(2, BackendState::Ready) }, START);
    for _ in 0..20 {
        let chosen = backends.choose(&request, START);
        let Choice::Use { server, .. } = chosen else { panic!("a server is chosen") };
        assert_eq!(server.id, id(2));
        backends.end_attempt(&server.id, AttemptEnd::Answered, START);
    }
    backends.remove(&id(2), START);
    let chosen = backends.choose(&request, START + PROBATION);
    assert!(matches!(chosen, Choice::Use { server, .. } if server.id == id(1)));
    request.version = None;
    assert!(
        matches!(backends.choose(&request, START), Choice::Use { server, .. } if server.id != id(1))
    );
}

/// Guards against requests at an incarnation that has ended, whose late call lists it after a later one left, and against a server
/// that gets no work any more since another writer's entry passed for its later incarnation.
#[test]
fn an_incarnation_that_is_listed_after_a_later_one_left_gets_work_once_it_has_stayed_listed() {
    let mut backends = backends_with(3);
    let later = BackendId::new("i-1", 9);
    backends.put(BackendRecord { id: later.clone(), ..record(1, BackendState::Ready) }, START);
    backends.remove(&later, START);
    backends.put(record(1, BackendState::Ready), START);
    assert_eq!(chosen_servers(&mut backends, START), [id(2), id(3)]);
    assert_eq!(chosen_servers(&mut backends, START + PROBATION), [id(1), id(2), id(3)]);
}

struct UnknownTimeCase {
    name: &'static str,
    /// The times as of which the list is complete, in milliseconds after the server came back.
    complete_as_of: &'static [u64],
    is_used: bool,
}

/// Guards against a server that left and gets work since discovery was away: the time in which nobody knew the list passed for
/// time in which the server stayed listed.
#[test]
fn time_in_which_the_list_is_not_known_ends_no_probation() {
    let cases = [
        UnknownTimeCase { name: "silent", complete_as_of: &[1_000], is_used: false },
        UnknownTimeCase { name: "back", complete_as_of: &[1_000, 8_000], is_used: false },
        UnknownTimeCase {
            name: "listed long enough before and after",
            complete_as_of: &[1_000, 8_000, 9_500, 11_000, 12_500, 14_000],
            is_used: true,
        },
        UnknownTimeCase {
            name: "never away",
            complete_as_of: &[1_000, 2_500, 4_000, 5_500, 6_000],
            is_used: true,
        },
    ];
    for UnknownTimeCase { name, complete_as_of, is_used } in cases {
        let mut backends = backends_with(3);
        backends.record_complete_as_of(START);
        backends.remove(&id(1), START);
        backends.put(record(1, BackendState::Ready), START);
        for millis in complete_as_of {
            backends.record_complete_as_of(START + Duration::from_millis(*millis));
        }
        let later = START + Duration::from_secs(20);
        assert_eq!(chosen_servers(&mut backends, later).contains(&id(1)), is_used, "{name}");
    }
}

struct MissedChangesCase {
    name: &'static str,
    /// The servers whose records were written while changes were missed, of three.
    written: &'static [u16],
    /// The servers that leave after that.
    leaving: &'static [u16],
    /// The servers that get requests then.
    expected: &'static [u16],
}

/// Guards against requests at a server that announced that it leaves in a change that was missed, while live servers are used
/// where most wrote their records, or no other is left.
#[test]
fn a_server_that_wrote_its_record_unseen_gets_work_once_it_has_stayed_listed() {
    let cases = [
        MissedChangesCase { name: "one", written: &[1], leaving: &[], expected: &[2, 3] },
        MissedChangesCase { name: "most", written: &[1, 2], leaving: &[], expected: &[1, 2, 3] },
        MissedChangesCase { name: "the only", written: &[1], leaving: &[2, 3], expected: &[1] },
    ];
    for MissedChangesCase { name, written, leaving, expected } in cases {
        let mut backends = backends_with(3);
        let written: Vec<BackendId> = written.iter().copied().map(id).collect();
        backends.begin_probation_after_missed_changes(&written, START);
        leaving.iter().for_each(|server| backends.remove(&id(*server), START));
        let expected: Vec<BackendId> = expected.iter().copied().map(id).collect();
        assert_eq!(chosen_servers(&mut backends, START), expected, "{name}");
        let present = (1..=3).filter(|server| !leaving.contains(server));
        let present: Vec<BackendId> = present.map(id).collect();
        assert_eq!(chosen_servers(&mut backends, START + PROBATION), present, "{name}, later");
    }
}

/// Guards against a server that comes back by a late call and gets work since another one is listed after another writer's entry
/// of a later incarnation left: that one is no sign that many came back.
#[test]
fn an_incarnation_after_which_a_later_one_left_does_not_count_as_one_that_came_back() {
    let mut backends = backends_with(3);
    let later = BackendId::new("i-2", 9);
    backends.put(BackendRecord { id: later.clone(), ..record(2, BackendState::Ready) }, START);
    backends.remove(&later, START);
    backends.put(record(2, BackendState::Ready), START);
    backends.remove(&id(1), START);
    backends.put(record(1, BackendState::Ready), START);
    assert_eq!(chosen_servers(&mut backends, START), [id(3)]);
}

/// Guards against a server that comes back by a late call and gets work since others wrote their records unseen.
#[test]
fn records_that_were_written_unseen_do_not_count_as_servers_that_came_back() {
    let mut backends = backends_with(5);
    backends.begin_probation_after_missed_changes(&[id(2), id(3)], START);
    backends.remove(&id(1), START);
    backends.put(record(1, BackendState::Ready), START);
    assert_eq!(chosen_servers(&mut backends, START), [id(4), id(5)]);
}

/// Guards against a new incarnation that is taken for its predecessor.
#[test]
fn the_next_incarnation_gets_work_at_once() {
    let mut backends = backends_with(3);
    backends.put(record(1, BackendState::Draining), START);
    let next = BackendId::new("i-1", 8);
    backends.put(BackendRecord { id: next.clone(), ..record(1, BackendState::Ready) }, START);
    assert_eq!(chosen_servers(&mut backends, START), [next, id(2), id(3)]);
}

/// Guards against requests at a server that had left before this daemon started, when its last call to discovery takes effect
/// after the first list.
#[test]
fn a_server_that_appears_soon_after_a_restart_gets_work_once_it_has_stayed_listed() {
    let mut backends = backends_with(3);
    backends.begin_without_departures(START);
    let later = START + Duration::from_secs(2);
    backends.put(record(4, BackendState::Ready), later);
    let just_before = later + Duration::from_millis(5_999);
    assert_eq!(chosen_servers(&mut backends, just_before), [id(1), id(2), id(3)]);
    let after = later + PROBATION;
    assert_eq!(chosen_servers(&mut backends, after), [id(1), id(2), id(3), id(4)]);
    // A server that appears when late calls of that time have taken effect is new.
    let new = START + Duration::from_millis(10_000);
    backends.put(record(5, BackendState::Ready), new);
    assert_eq!(chosen_servers(&mut backends, new), [1, 2, 3, 4, 5].map(id));
}

/// Guards against a server that starts again while this daemon does, and is taken for one that may have left.
#[test]
fn the_next_incarnation_gets_work_at_once_after_a_restart() {
    let mut backends = backends_with(4);
    backends.begin_without_departures(START);
    backends.remove(&id(2), START);
    let next = [1, 2].map(|server| BackendId::new(format!("i-{server}"), 8));
    for (server, next) in [1, 2].into_iter().zip(&next) {
        backends
            .put(BackendRecord { id: next.clone(), ..record(server, BackendState::Ready) }, START);
    }
    let chosen = chosen_servers(&mut backends, START);
    assert!(next.iter().all(|next| chosen.contains(next)), "{chosen:?}");
}

/// Guards against a service without servers after a restart of gateways and servers together.
#[test]
fn servers_that_appear_in_numbers_after_a_restart_get_work_at_once() {
    let mut backends = backends_with(1);
    backends.begin_without_departures(START);
    for server in [2, 3] {
        backends.put(record(server, BackendState::Ready), START);
    }
    assert_eq!(chosen_servers(&mut backends, START), [1, 2, 3].map(id));
}

/// Guards against requests at a server that a late call lists again, because another server leaves and those on probation become
/// most of the rest.
#[test]
fn a_server_that_leaves_ends_no_probation_of_others() {
    let mut backends = backends_with(5);
    for server in [1, 2] {
        backends.remove(&id(server), START);
    }
    for server in [1, 2] {
        backends.put(record(server, BackendState::Ready), START);
    }
    assert_eq!(chosen_servers(&mut backends, START), [3, 4, 5].map(id));
    backends.put(record(3, BackendState::Draining), START);
    backends.put(record(4, BackendState::Draining), START);
    assert_eq!(chosen_servers(&mut backends, START), [id(5)]);
}
