//! Which server a request goes to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_backends::{
    Affinity, AttemptEnd, BackendId, BackendRecord, BackendSettings, BackendState, Backends,
    Choice, ChoiceRequest, ServiceName, SharedPrompt,
};
use dahlia_types::{Duration, Timestamp, Zone};

const SLOTS: u32 = 4;
const START: Timestamp = Timestamp(1_000_000);

fn service() -> ServiceName {
    ServiceName("assistant".to_owned())
}

fn record(name: &str, zone: &str) -> BackendRecord {
    BackendRecord {
        id: BackendId::from(name),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new(zone),
        slots: SLOTS,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    }
}

fn build_backends(servers: &[(&str, &str)]) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), 7);
    for (name, zone) in servers {
        backends.put(record(name, zone), START);
    }
    backends
}

fn new_request<'a>(service: &'a ServiceName, tried: &'a [BackendId]) -> ChoiceRequest<'a> {
    ChoiceRequest { service, affinity: None, preferred: None, tried, size: None, version: None }
}

fn chosen_server(choice: Choice) -> Option<BackendId> {
    match choice {
        Choice::Use { server, .. } => Some(server.id),
        Choice::Full { .. } | Choice::NoBackend { .. } => None,
    }
}

#[test]
fn own_zone_servers_are_used_until_they_are_clearly_more_loaded_than_others() {
    let mut backends = build_backends(&[("near", "hall-a"), ("far", "hall-b")]);
    let service = service();
    let chosen: Vec<BackendId> = (0..4)
        .filter_map(|_| chosen_server(backends.choose(&new_request(&service, &[]), START)))
        .collect();
    let near = chosen.iter().filter(|id| id.name == "near").count();
    assert_eq!((near, chosen.len()), (3, 4), "{chosen:?}");
}

#[test]
fn all_daemons_prefer_the_same_server_for_a_program() {
    let servers = [("a", "hall-a"), ("b", "hall-b"), ("c", "hall-c"), ("d", "hall-d")];
    let service = service();
    let mut counts: BTreeMap<BackendId, u32> = BTreeMap::new();
    for program in 0..400 {
        let mut one = build_backends(&servers);
        let mut other = Backends::new(BackendSettings::default(), Zone::new("hall-c"), 99);
        servers.iter().rev().for_each(|(name, zone)| other.put(record(name, zone), START));
        let request = ChoiceRequest {
            affinity: Some(Affinity::Program(program)),
            ..new_request(&service, &[])
        };
        let chosen = chosen_server(one.choose(&request, START));
        assert_eq!(chosen, chosen_server(other.choose(&request, START)));
        *counts.entry(chosen.expect("servers are idle")).or_default() += 1;
    }
    // Four servers share 400 programs. A far from even split would reveal a weak hash.
    assert!(counts.values().all(|count| (60..=140).contains(count)), "{counts:?}");
}

struct StayCase {
    name: &'static str,
    /// The attempts at the holder and at each of the five other servers, for some seconds.
    attempts: (u32, u32),
    stays: bool,
}

#[test]
fn a_program_leaves_its_server_only_if_its_load_is_far_above_the_mean() {
    let cases = [
        StayCase { name: "an idle service", attempts: (0, 0), stays: true },
        StayCase { name: "as loaded as the others", attempts: (4, 4), stays: true },
        StayCase { name: "twice the mean", attempts: (7, 3), stays: true },
        StayCase { name: "below three times the mean", attempts: (7, 2), stays: true },
        StayCase { name: "above three times the mean", attempts: (7, 1), stays: false },
        StayCase { name: "all of the load", attempts: (7, 0), stays: false },
    ];
    for case in cases {
        let holder = BackendId::from("b");
        assert_eq!(program_stays(&holder, case.attempts, 6), case.stays, "{}", case.name);
    }
}

/// Whether a program stays at `holder` after the holder and the others of `servers` had this many
/// attempts for two seconds.
fn program_stays(holder: &BackendId, (at_holder, at_others): (u32, u32), servers: usize) -> bool {
    let names = ["a", "b", "c", "d", "e", "f"].map(|name| (name, "hall-a"));
    let mut backends = build_backends(&names[..servers]);
    let service = service();
    for (name, _) in &names[..servers] {
        let id = BackendId::from(*name);
        let count = if id == *holder { at_holder } else { at_others };
        let others: Vec<BackendId> =
            names.iter().map(|(other, _)| BackendId::from(*other)).collect();
        let tried: Vec<BackendId> = others.into_iter().filter(|other| *other != id).collect();
        for _ in 0..count {
            assert_eq!(
                chosen_server(backends.choose(&new_request(&service, &tried), START)),
                Some(id.clone())
            );
        }
    }
    let program = Some(Affinity::Program(1));
    let request =
        ChoiceRequest { affinity: program, preferred: Some(holder), ..new_request(&service, &[]) };
    chosen_server(backends.choose(&request, START + Duration::from_secs(2))) == Some(holder.clone())
}

/// Returns a shared prompt that is long enough to be kept at few servers.
fn long_prompt(hash: u64) -> SharedPrompt {
    SharedPrompt { hash, tokens: 12_600 }
}

/// Chooses servers for requests with shared prompts, each given with its requests per 100 ms.
/// Returns the number of choices by prompt and server.
fn choose_for_prompts(
    prompts: &[(u64, u32)],
    seconds: u64,
) -> BTreeMap<u64, BTreeMap<BackendId, u32>> {
    let names: Vec<String> = (0..12).map(|number| format!("server-{number}")).collect();
    let servers: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "hall-a")).collect();
    let mut backends = build_backends(&servers);
    let service = service();
    let mut chosen: BTreeMap<u64, BTreeMap<BackendId, u32>> = BTreeMap::new();
    for tick in 0..seconds * 10 {
        let now = START + Duration::from_millis(tick * 100);
        for (prompt, per_tick) in prompts {
            for _ in 0..*per_tick {
                let affinity = Some(Affinity::SharedPrompt(long_prompt(*prompt)));
                let id = chosen_server(
                    backends.choose(&ChoiceRequest { affinity, ..new_request(&service, &[]) }, now),
                );
                let id = id.expect("there is room");
                *chosen.entry(*prompt).or_default().entry(id.clone()).or_default() += 1;
                backends.end_attempt(&id, AttemptEnd::Answered, now + Duration::from_millis(90));
            }
        }
    }
    chosen
}

#[test]
fn few_servers_read_a_shared_prompt_and_more_read_a_popular_one() {
    let prompts: Vec<(u64, u32)> = (0..11).map(|prompt| (prompt, 1)).chain([(99, 5)]).collect();
    let chosen = choose_for_prompts(&prompts, 20);
    for (prompt, servers) in &chosen {
        // Each other prompt has one of sixteen requests: its share of twelve servers times the
        // spread of four is three.
        let wanted = if *prompt == 99 { 10..=12 } else { 2..=4 };
        assert!(wanted.contains(&servers.len()), "prompt {prompt}: {servers:?}");
    }
    let mut loads: BTreeMap<&BackendId, u32> = BTreeMap::new();
    for (id, count) in chosen.values().flatten() {
        *loads.entry(id).or_default() += count;
    }
    let mean = loads.values().sum::<u32>() / 12;
    let busiest = loads.values().max().expect("some server");
    assert!(*busiest < mean * 3 / 2, "the busiest has {busiest}, the mean is {mean}");
}

#[test]
fn all_daemons_prefer_the_same_servers_for_a_shared_prompt() {
    let one = choose_for_prompts(&[(7, 1), (8, 8)], 5);
    let other = choose_for_prompts(&[(7, 1), (8, 8)], 5);
    assert_eq!(one[&7].keys().collect::<Vec<_>>(), other[&7].keys().collect::<Vec<_>>());
}

#[test]
fn a_leaving_server_gets_no_new_work_whether_discovery_or_the_server_reports_it() {
    let service = service();
    let mut by_discovery = build_backends(&[("a", "hall-a")]);
    let mut leaving = record("a", "hall-a");
    leaving.state = BackendState::Draining;
    by_discovery.put(leaving, START);
    assert_eq!(chosen_server(by_discovery.choose(&new_request(&service, &[]), START)), None);

    let mut by_itself = build_backends(&[("a", "hall-a")]);
    let id =
        chosen_server(by_itself.choose(&new_request(&service, &[]), START)).expect("it is idle");
    by_itself.end_attempt(&id, AttemptEnd::Leaving, START);
    // Discovery lags: it still reports the server as ready, even later.
    by_itself.put(record("a", "hall-a"), START + Duration::from_secs(1));
    let later = START + Duration::from_secs(2);
    assert_eq!(chosen_server(by_itself.choose(&new_request(&service, &[]), later)), None);

    let mut gone = build_backends(&[("a", "hall-a")]);
    gone.remove(&BackendId::from("a"), START);
    assert_eq!(chosen_server(gone.choose(&new_request(&service, &[]), START)), None);
    assert_eq!(gone.ids().count(), 0);
}

#[test]
fn a_server_that_refused_as_full_is_tried_again_after_the_returned_delay() {
    let mut backends = build_backends(&[("a", "hall-a")]);
    let service = service();
    let id =
        chosen_server(backends.choose(&new_request(&service, &[]), START)).expect("it is idle");
    backends.end_attempt(&id, AttemptEnd::Refused, START);
    let Choice::Full { retry_after } = backends.choose(&new_request(&service, &[]), START) else {
        panic!("the only server just refused");
    };
    assert!(retry_after > Duration::ZERO);
    let later = START + retry_after;
    assert_eq!(chosen_server(backends.choose(&new_request(&service, &[]), later)), Some(id));
}

#[test]
fn pauses_of_an_unreachable_server_double_until_it_answers() {
    let mut backends = build_backends(&[("a", "hall-a")]);
    let service = service();
    let mut now = START;
    let mut pauses = Vec::new();
    for _ in 0..3 {
        let id = chosen_server(backends.choose(&new_request(&service, &[]), now))
            .expect("its pause is over");
        backends.end_attempt(&id, AttemptEnd::Unreachable, now);
        let failed = now;
        while chosen_server(backends.choose(&new_request(&service, &[]), now)).is_none() {
            now = now + Duration::from_millis(50);
        }
        backends.end_attempt(&id, AttemptEnd::Cancelled, now);
        pauses.push(now.since(failed).as_millis());
    }
    assert_eq!(pauses, [250, 500, 1_000]);
    let id = chosen_server(backends.choose(&new_request(&service, &[]), now))
        .expect("its pause is over");
    backends.end_attempt(&id, AttemptEnd::Answered, now);
    assert_eq!(chosen_server(backends.choose(&new_request(&service, &[]), now)), Some(id));
}

#[test]
fn a_server_that_breaks_answers_is_the_last_choice_until_its_failures_decay() {
    let mut backends = build_backends(&[("bad", "hall-a"), ("good", "hall-b")]);
    let service = service();
    let good = [BackendId::from("good")];
    for _ in 0..3 {
        let id = chosen_server(backends.choose(&new_request(&service, &good), START))
            .expect("it is idle");
        backends.end_attempt(&id, AttemptEnd::Broken, START);
    }
    assert_eq!(
        chosen_server(backends.choose(&new_request(&service, &[]), START)),
        Some(good[0].clone())
    );
    // A suspect server is better than none: the other one was already tried.
    let last = chosen_server(backends.choose(&new_request(&service, &good), START));
    assert_eq!(last, Some(BackendId::from("bad")));
    backends.end_attempt(&BackendId::from("bad"), AttemptEnd::Cancelled, START);
    backends.end_attempt(&good[0], AttemptEnd::Answered, START);
    let later = START + Duration::from_secs(30);
    let again = chosen_server(backends.choose(&new_request(&service, &[]), later));
    assert_eq!(again, Some(BackendId::from("bad")), "the server in the own zone is healthy again");
}

#[test]
fn a_server_that_is_leaving_or_not_listed_is_reported_as_such() {
    let mut backends = build_backends(&[("a", "hall-a"), ("b", "hall-a"), ("c", "hall-a")]);
    let id = |name: &str| BackendId::from(name);
    backends.put(BackendRecord { state: BackendState::Draining, ..record("a", "hall-a") }, START);
    backends.end_attempt(&id("b"), AttemptEnd::Leaving, START);
    let gone = ["a", "b", "c", "d"].map(|name| backends.is_leaving_or_gone(&id(name)));
    assert_eq!(gone, [true, true, false, true]);
}

#[test]
fn attempts_of_this_daemon_at_one_server_are_bounded() {
    let mut backends = build_backends(&[("a", "hall-a")]);
    let service = service();
    let taken = (0..100)
        .filter_map(|_| chosen_server(backends.choose(&new_request(&service, &[]), START)))
        .count();
    assert_eq!(taken, 2 * SLOTS as usize);
    assert_eq!(backends.in_flight(&service), 2 * SLOTS);
    let refused = backends.choose(&new_request(&service, &[]), START);
    assert!(matches!(refused, Choice::Full { .. }), "{refused:?}");
}

#[test]
fn errors_name_the_invalid_setting() {
    let defaults = BackendSettings::default;
    let cases = [
        ("backends.load_bound", BackendSettings { load_bound: 0.5, ..defaults() }),
        ("backends.cold_excess", BackendSettings { cold_excess: -1.0, ..defaults() }),
        ("backends.cold_excess", BackendSettings { cold_excess: f64::NAN, ..defaults() }),
        ("backends.cold_slack", BackendSettings { cold_slack: -1.0, ..defaults() }),
        ("backends.cold_slack", BackendSettings { cold_slack: f64::INFINITY, ..defaults() }),
    ];
    for (field, settings) in cases {
        let error = settings.check().expect_err(field);
        assert!(error.to_string().contains(field), "{error}");
    }
}

/// Sends `count` requests. The server "slow" answers after `slow_ms`, others after 50 ms. Returns
/// how many requests "slow" received.
fn count_slow_choices(
    backends: &mut Backends,
    affinity: Option<u64>,
    slow_ms: u64,
    count: u64,
    start: Timestamp,
) -> usize {
    let service = service();
    let mut slow = 0;
    for index in 0..count {
        let now = start + Duration::from_millis(index * 10);
        let request = ChoiceRequest {
            affinity: affinity.map(Affinity::Program),
            ..new_request(&service, &[])
        };
        let id = chosen_server(backends.choose(&request, now)).expect("a server is idle");
        let is_slow = id.name == "slow";
        slow += usize::from(is_slow);
        let time = Duration::from_millis(if is_slow { slow_ms } else { 50 });
        backends.record_response_time(&id, time, now);
        backends.end_attempt(&id, AttemptEnd::Answered, now);
    }
    slow
}

#[test]
fn a_slow_server_is_only_probed_until_it_has_recovered() {
    let mut backends = build_backends(&[("slow", "hall-a"), ("b", "hall-a"), ("c", "hall-a")]);
    assert!(
        count_slow_choices(&mut backends, None, 300, 60, START) >= 5,
        "it is not known to be slow yet"
    );
    let later = START + Duration::from_secs(1);
    let tried = count_slow_choices(&mut backends, None, 300, 400, later);
    assert!((1..=5).contains(&tried), "{tried} of 400 in four seconds");
    let sticky = (0..100).find(|hash| {
        let mut fresh = build_backends(&[("slow", "hall-a"), ("b", "hall-a"), ("c", "hall-a")]);
        count_slow_choices(&mut fresh, Some(*hash), 300, 1, START) == 1
    });
    let tried = count_slow_choices(&mut backends, sticky, 300, 400, START + Duration::from_secs(5));
    assert!((1..=5).contains(&tried), "{tried} of 400 with affinity to the slow server");
    count_slow_choices(&mut backends, sticky, 50, 600, START + Duration::from_secs(10));
    let again = count_slow_choices(&mut backends, sticky, 50, 20, START + Duration::from_secs(17));
    assert_eq!(again, 20, "it has recovered");
}

#[test]
fn a_hanging_server_counts_as_slow_without_an_answer() {
    let mut backends = build_backends(&[("hangs", "hall-a"), ("good", "hall-b")]);
    let (hangs, good) = (BackendId::from("hangs"), BackendId::from("good"));
    let service = service();
    for _ in 0..5 {
        backends.record_response_time(&good, Duration::from_millis(50), START);
        backends.record_unanswered(&hangs, Duration::from_secs(4), START);
    }
    let first = chosen_server(backends.choose(&new_request(&service, &[]), START));
    assert_eq!(first, Some(hangs.clone()), "it is tried once, then avoided");
    backends.end_attempt(&hangs, AttemptEnd::Cancelled, START);
    assert_eq!(chosen_server(backends.choose(&new_request(&service, &[]), START)), Some(good));
}

#[test]
fn failures_reported_by_other_daemons_count_as_own() {
    let mut backends = build_backends(&[("grey", "hall-a"), ("sound", "hall-b")]);
    let (service, grey) = (service(), BackendId::from("grey"));
    assert_eq!(
        chosen_server(backends.choose(&new_request(&service, &[]), START)),
        Some(grey.clone())
    );
    backends.add_reported_failures(&grey, 2, START);
    let next = chosen_server(backends.choose(&new_request(&service, &[]), START));
    assert_eq!(next, Some(BackendId::from("sound")));
    // However many failures others report, the server is soon tried again.
    backends.add_reported_failures(&grey, 200, START);
    let later = START + Duration::from_secs(8);
    assert_eq!(chosen_server(backends.choose(&new_request(&service, &[]), later)), Some(grey));
}

#[test]
fn failures_are_reported_until_the_server_is_suspect() {
    let mut backends = build_backends(&[("grey", "hall-a")]);
    let (sender, failures) = std::sync::mpsc::channel();
    backends.on_failure(Box::new(move |id| sender.send(id.clone()).expect("the receiver exists")));
    let grey = BackendId::from("grey");
    for end in [AttemptEnd::Answered, AttemptEnd::Cancelled, AttemptEnd::Refused] {
        backends.end_attempt(&grey, end, START);
    }
    assert_eq!(failures.try_iter().count(), 0, "none of these is a failure of the server");
    for end in [AttemptEnd::Broken, AttemptEnd::Failed, AttemptEnd::Broken] {
        backends.end_attempt(&grey, end, START);
    }
    assert_eq!(failures.try_iter().collect::<Vec<_>>(), vec![grey.clone(), grey]);
}

#[test]
fn requests_for_an_object_go_to_one_server_of_the_own_zone_unless_it_is_overloaded() {
    let servers = [("a", "hall-a"), ("b", "hall-a"), ("c", "hall-a"), ("d", "hall-b")];
    let service = service();
    let choose = |backends: &mut Backends, object| {
        let request = ChoiceRequest {
            affinity: Some(Affinity::Object(object)),
            ..new_request(&service, &[])
        };
        chosen_server(backends.choose(&request, START)).expect("a server takes it")
    };
    let mut one = build_backends(&servers);
    let mut other = Backends::new(BackendSettings::default(), Zone::new("hall-a"), 99);
    for (name, zone) in servers {
        other.put(record(name, zone), START);
    }
    let mut differing = 0;
    for object in 0..200 {
        let (first, second) = (choose(&mut one, object), choose(&mut other, object));
        differing += u32::from(first != second);
        one.end_attempt(&first, AttemptEnd::Answered, START);
        other.end_attempt(&second, AttemptEnd::Answered, START);
    }
    // One choice in eight of each daemon also considers other zones and decides by load.
    assert!(differing <= 200 / 3, "{differing} of 200 objects at different servers");
    let mut backends = build_backends(&servers);
    let all: Vec<BackendId> = (0..8).map(|_| choose(&mut backends, 1)).collect();
    let busiest = all.iter().filter(|id| **id == all[0]).count();
    assert!(busiest < 8, "all eight concurrent requests went to one server of four slots: {all:?}");
}
