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
    }
}

fn table(servers: &[(&str, &str)]) -> Backends {
    let mut backends = Backends::new(BackendSettings::default(), Zone::new("hall-a"), 7);
    for (name, zone) in servers {
        backends.put(record(name, zone), START);
    }
    backends
}

fn ask<'a>(service: &'a ServiceName, tried: &'a [BackendId]) -> ChoiceRequest<'a> {
    ChoiceRequest { service, affinity: None, preferred: None, tried, size: None }
}

fn used(choice: Choice) -> Option<BackendId> {
    match choice {
        Choice::Use { server, .. } => Some(server.id),
        Choice::Full { .. } | Choice::NoBackend { .. } => None,
    }
}

#[test]
fn near_servers_are_used_until_they_are_clearly_fuller_than_far_ones() {
    let mut backends = table(&[("near", "hall-a"), ("far", "hall-b")]);
    let service = service();
    let chosen: Vec<BackendId> =
        (0..4).filter_map(|_| used(backends.choose(&ask(&service, &[]), START))).collect();
    let near = chosen.iter().filter(|id| id.name == "near").count();
    assert_eq!((near, chosen.len()), (3, 4), "{chosen:?}");
}

#[test]
fn all_daemons_prefer_the_same_server_for_a_program() {
    let servers = [("a", "hall-a"), ("b", "hall-b"), ("c", "hall-c"), ("d", "hall-d")];
    let service = service();
    let mut counts: BTreeMap<BackendId, u32> = BTreeMap::new();
    for program in 0..400 {
        let mut one = table(&servers);
        let mut other = Backends::new(BackendSettings::default(), Zone::new("hall-c"), 99);
        servers.iter().rev().for_each(|(name, zone)| other.put(record(name, zone), START));
        let ask =
            ChoiceRequest { affinity: Some(Affinity::Program(program)), ..ask(&service, &[]) };
        let chosen = used(one.choose(&ask, START));
        assert_eq!(chosen, used(other.choose(&ask, START)));
        *counts.entry(chosen.expect("servers are idle")).or_default() += 1;
    }
    // Four servers share 400 programs: far from even would show a weak hash.
    assert!(counts.values().all(|count| (60..=140).contains(count)), "{counts:?}");
}

struct KeptCase {
    name: &'static str,
    /// Attempts that home, and each of the five others, had for some seconds.
    attempts: (u32, u32),
    stays: bool,
}

#[test]
fn a_program_leaves_its_server_only_when_that_is_far_above_the_mean() {
    let cases = [
        KeptCase { name: "an idle service", attempts: (0, 0), stays: true },
        KeptCase { name: "as loaded as the others", attempts: (4, 4), stays: true },
        KeptCase { name: "twice the mean", attempts: (7, 3), stays: true },
        KeptCase { name: "below three times the mean", attempts: (7, 2), stays: true },
        KeptCase { name: "above three times the mean", attempts: (7, 1), stays: false },
        KeptCase { name: "all of the load", attempts: (7, 0), stays: false },
    ];
    for case in cases {
        let home = BackendId::from("b");
        assert_eq!(stays(&home, case.attempts, 6), case.stays, "{}", case.name);
    }
}

/// Whether a program stays at `home` after its server and the others of `servers` had so many
/// attempts for two seconds.
fn stays(home: &BackendId, (at_home, at_others): (u32, u32), servers: usize) -> bool {
    let names = ["a", "b", "c", "d", "e", "f"].map(|name| (name, "hall-a"));
    let mut backends = table(&names[..servers]);
    let service = service();
    for (name, _) in &names[..servers] {
        let id = BackendId::from(*name);
        let count = if id == *home { at_home } else { at_others };
        let others: Vec<BackendId> =
            names.iter().map(|(other, _)| BackendId::from(*other)).collect();
        let tried: Vec<BackendId> = others.into_iter().filter(|other| *other != id).collect();
        for _ in 0..count {
            assert_eq!(used(backends.choose(&ask(&service, &tried), START)), Some(id.clone()));
        }
    }
    let program = Some(Affinity::Program(1));
    let ask = ChoiceRequest { affinity: program, preferred: Some(home), ..ask(&service, &[]) };
    used(backends.choose(&ask, START + Duration::from_secs(2))) == Some(home.clone())
}

/// Shared parts that are worth keeping at few servers.
fn long(hash: u64) -> SharedPrompt {
    SharedPrompt { hash, tokens: 12_600 }
}

/// Programs with the same shared prompt, at so many servers.
fn servers_of_prompts(
    prompts: &[(u64, u32)],
    seconds: u64,
) -> BTreeMap<u64, BTreeMap<BackendId, u32>> {
    let names: Vec<String> = (0..12).map(|number| format!("server-{number}")).collect();
    let servers: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "hall-a")).collect();
    let mut backends = table(&servers);
    let service = service();
    let mut chosen: BTreeMap<u64, BTreeMap<BackendId, u32>> = BTreeMap::new();
    for tick in 0..seconds * 10 {
        let now = START + Duration::from_millis(tick * 100);
        for (prompt, per_tick) in prompts {
            for _ in 0..*per_tick {
                let affinity = Some(Affinity::SharedPrompt(long(*prompt)));
                let id =
                    used(backends.choose(&ChoiceRequest { affinity, ..ask(&service, &[]) }, now));
                let id = id.expect("there is room");
                *chosen.entry(*prompt).or_default().entry(id.clone()).or_default() += 1;
                backends.end_attempt(&id, AttemptEnd::Answered, now + Duration::from_millis(90));
            }
        }
    }
    chosen
}

#[test]
fn few_servers_read_a_shared_prompt_and_more_of_them_a_popular_one() {
    let prompts: Vec<(u64, u32)> = (0..11).map(|prompt| (prompt, 1)).chain([(99, 5)]).collect();
    let chosen = servers_of_prompts(&prompts, 20);
    for (prompt, servers) in &chosen {
        // One of sixteen requests: its share of twelve servers times the spread of four is three.
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
    let one = servers_of_prompts(&[(7, 1), (8, 8)], 5);
    let other = servers_of_prompts(&[(7, 1), (8, 8)], 5);
    assert_eq!(one[&7].keys().collect::<Vec<_>>(), other[&7].keys().collect::<Vec<_>>());
}

#[test]
fn a_server_that_leaves_gets_no_new_work_whoever_says_so() {
    let service = service();
    let mut by_discovery = table(&[("a", "hall-a")]);
    let mut leaving = record("a", "hall-a");
    leaving.state = BackendState::Draining;
    by_discovery.put(leaving, START);
    assert_eq!(used(by_discovery.choose(&ask(&service, &[]), START)), None);

    let mut by_its_word = table(&[("a", "hall-a")]);
    let id = used(by_its_word.choose(&ask(&service, &[]), START)).expect("it is idle");
    by_its_word.end_attempt(&id, AttemptEnd::Leaving, START);
    // Discovery lags: it still says ready, also later.
    by_its_word.put(record("a", "hall-a"), START + Duration::from_secs(1));
    let later = START + Duration::from_secs(2);
    assert_eq!(used(by_its_word.choose(&ask(&service, &[]), later)), None);

    let mut gone = table(&[("a", "hall-a")]);
    gone.remove(&BackendId::from("a"), START);
    assert_eq!(used(gone.choose(&ask(&service, &[]), START)), None);
    assert_eq!(gone.ids().count(), 0);
}

#[test]
fn a_refusal_as_full_says_when_to_come_back_and_the_server_is_tried_again_then() {
    let mut backends = table(&[("a", "hall-a")]);
    let service = service();
    let id = used(backends.choose(&ask(&service, &[]), START)).expect("it is idle");
    backends.end_attempt(&id, AttemptEnd::Refused, START);
    let Choice::Full { retry_after } = backends.choose(&ask(&service, &[]), START) else {
        panic!("the only server just refused");
    };
    assert!(retry_after > Duration::ZERO);
    let later = START + retry_after;
    assert_eq!(used(backends.choose(&ask(&service, &[]), later)), Some(id));
}

#[test]
fn pauses_of_an_unreachable_server_double_and_end_with_an_answer() {
    let mut backends = table(&[("a", "hall-a")]);
    let service = service();
    let mut now = START;
    let mut pauses = Vec::new();
    for _ in 0..3 {
        let id = used(backends.choose(&ask(&service, &[]), now)).expect("its pause is over");
        backends.end_attempt(&id, AttemptEnd::Unreachable, now);
        let failed = now;
        while used(backends.choose(&ask(&service, &[]), now)).is_none() {
            now = now + Duration::from_millis(50);
        }
        backends.end_attempt(&id, AttemptEnd::Cancelled, now);
        pauses.push(now.since(failed).as_millis());
    }
    assert_eq!(pauses, [250, 500, 1_000]);
    let id = used(backends.choose(&ask(&service, &[]), now)).expect("its pause is over");
    backends.end_attempt(&id, AttemptEnd::Answered, now);
    assert_eq!(used(backends.choose(&ask(&service, &[]), now)), Some(id));
}

#[test]
fn a_server_that_breaks_answers_is_the_last_choice_until_its_failures_fade() {
    let mut backends = table(&[("bad", "hall-a"), ("good", "hall-b")]);
    let service = service();
    let good = [BackendId::from("good")];
    for _ in 0..3 {
        let id = used(backends.choose(&ask(&service, &good), START)).expect("it is idle");
        backends.end_attempt(&id, AttemptEnd::Broken, START);
    }
    assert_eq!(used(backends.choose(&ask(&service, &[]), START)), Some(good[0].clone()));
    // Better than none: the other one was tried already.
    let last = used(backends.choose(&ask(&service, &good), START));
    assert_eq!(last, Some(BackendId::from("bad")));
    backends.end_attempt(&BackendId::from("bad"), AttemptEnd::Cancelled, START);
    backends.end_attempt(&good[0], AttemptEnd::Answered, START);
    let later = START + Duration::from_secs(30);
    let again = used(backends.choose(&ask(&service, &[]), later));
    assert_eq!(again, Some(BackendId::from("bad")), "the near one is sound again");
}

#[test]
fn a_server_is_gone_when_it_leaves_or_is_not_listed() {
    let mut backends = table(&[("a", "hall-a"), ("b", "hall-a"), ("c", "hall-a")]);
    let id = |name: &str| BackendId::from(name);
    backends.put(BackendRecord { state: BackendState::Draining, ..record("a", "hall-a") }, START);
    backends.end_attempt(&id("b"), AttemptEnd::Leaving, START);
    let gone = ["a", "b", "c", "d"].map(|name| backends.is_leaving_or_gone(&id(name)));
    assert_eq!(gone, [true, true, false, true]);
}

#[test]
fn attempts_of_this_daemon_at_one_server_are_bounded() {
    let mut backends = table(&[("a", "hall-a")]);
    let service = service();
    let taken = (0..100).filter_map(|_| used(backends.choose(&ask(&service, &[]), START))).count();
    assert_eq!(taken, 2 * SLOTS as usize);
    assert_eq!(backends.in_flight(&service), 2 * SLOTS);
    let refused = backends.choose(&ask(&service, &[]), START);
    assert!(matches!(refused, Choice::Full { .. }), "{refused:?}");
}

#[test]
fn settings_out_of_bounds_are_named() {
    let usual = BackendSettings::default;
    let cases = [
        ("backends.load_bound", BackendSettings { load_bound: 0.5, ..usual() }),
        ("backends.cold_excess", BackendSettings { cold_excess: -1.0, ..usual() }),
        ("backends.cold_excess", BackendSettings { cold_excess: f64::NAN, ..usual() }),
        ("backends.cold_slack", BackendSettings { cold_slack: -1.0, ..usual() }),
        ("backends.cold_slack", BackendSettings { cold_slack: f64::INFINITY, ..usual() }),
    ];
    for (field, settings) in cases {
        let error = settings.check().expect_err(field);
        assert!(error.to_string().contains(field), "{error}");
    }
}

/// Sends `count` requests. Server "slow" answers after `slow_ms`, others after 50 ms. Returns how
/// many "slow" got.
fn shares(
    backends: &mut Backends,
    affinity: Option<u64>,
    slow_ms: u64,
    count: u64,
    begun: Timestamp,
) -> usize {
    let service = service();
    let mut slow = 0;
    for index in 0..count {
        let now = begun + Duration::from_millis(index * 10);
        let asked =
            ChoiceRequest { affinity: affinity.map(Affinity::Program), ..ask(&service, &[]) };
        let id = used(backends.choose(&asked, now)).expect("there are idle ones");
        let is_slow = id.name == "slow";
        slow += usize::from(is_slow);
        let time = Duration::from_millis(if is_slow { slow_ms } else { 50 });
        backends.record_response_time(&id, time, now);
        backends.end_attempt(&id, AttemptEnd::Answered, now);
    }
    slow
}

#[test]
fn a_slow_server_is_tried_now_and_then_only_until_it_has_recovered() {
    let mut backends = table(&[("slow", "hall-a"), ("b", "hall-a"), ("c", "hall-a")]);
    assert!(shares(&mut backends, None, 300, 60, START) >= 5, "it is not known to be slow yet");
    let later = START + Duration::from_secs(1);
    let tried = shares(&mut backends, None, 300, 400, later);
    assert!((1..=5).contains(&tried), "{tried} of 400 in four seconds");
    let sticky = (0..100).find(|hash| {
        let mut fresh = table(&[("slow", "hall-a"), ("b", "hall-a"), ("c", "hall-a")]);
        shares(&mut fresh, Some(*hash), 300, 1, START) == 1
    });
    let tried = shares(&mut backends, sticky, 300, 400, START + Duration::from_secs(5));
    assert!((1..=5).contains(&tried), "{tried} of 400 with affinity to it");
    shares(&mut backends, sticky, 50, 600, START + Duration::from_secs(10));
    let again = shares(&mut backends, sticky, 50, 20, START + Duration::from_secs(17));
    assert_eq!(again, 20, "it has recovered");
}

#[test]
fn a_server_that_hangs_is_slow_without_an_answer() {
    let mut backends = table(&[("hangs", "hall-a"), ("good", "hall-b")]);
    let (hangs, good) = (BackendId::from("hangs"), BackendId::from("good"));
    let service = service();
    for _ in 0..5 {
        backends.record_response_time(&good, Duration::from_millis(50), START);
        backends.record_unanswered(&hangs, Duration::from_secs(4), START);
    }
    let first = used(backends.choose(&ask(&service, &[]), START));
    assert_eq!(first, Some(hangs.clone()), "it is tried, and then left");
    backends.end_attempt(&hangs, AttemptEnd::Cancelled, START);
    assert_eq!(used(backends.choose(&ask(&service, &[]), START)), Some(good));
}

#[test]
fn failures_that_other_daemons_saw_count_as_own_ones() {
    let mut backends = table(&[("grey", "hall-a"), ("sound", "hall-b")]);
    let (service, grey) = (service(), BackendId::from("grey"));
    assert_eq!(used(backends.choose(&ask(&service, &[]), START)), Some(grey.clone()));
    backends.add_reported_failures(&grey, 2, START);
    let next = used(backends.choose(&ask(&service, &[]), START));
    assert_eq!(next, Some(BackendId::from("sound")));
    // However many others saw, it is tried again before long.
    backends.add_reported_failures(&grey, 200, START);
    let later = START + Duration::from_secs(8);
    assert_eq!(used(backends.choose(&ask(&service, &[]), later)), Some(grey));
}

#[test]
fn others_are_told_of_failures_until_the_server_is_suspect() {
    let mut backends = table(&[("grey", "hall-a")]);
    let (told, tellings) = std::sync::mpsc::channel();
    backends.on_failure(Box::new(move |id| told.send(id.clone()).expect("the test listens")));
    let grey = BackendId::from("grey");
    for end in [AttemptEnd::Answered, AttemptEnd::Cancelled, AttemptEnd::Refused] {
        backends.end_attempt(&grey, end, START);
    }
    assert_eq!(tellings.try_iter().count(), 0, "neither its own nor the caller's doing");
    for end in [AttemptEnd::Broken, AttemptEnd::Failed, AttemptEnd::Broken] {
        backends.end_attempt(&grey, end, START);
    }
    assert_eq!(tellings.try_iter().collect::<Vec<_>>(), vec![grey.clone(), grey]);
}

#[test]
fn calls_for_an_object_go_to_one_near_server_unless_it_is_far_too_loaded() {
    let servers = [("a", "hall-a"), ("b", "hall-a"), ("c", "hall-a"), ("d", "hall-b")];
    let service = service();
    let choose = |backends: &mut Backends, object| {
        let ask = ChoiceRequest { affinity: Some(Affinity::Object(object)), ..ask(&service, &[]) };
        used(backends.choose(&ask, START)).expect("one takes it")
    };
    let mut one = table(&servers);
    let mut other = Backends::new(BackendSettings::default(), Zone::new("hall-a"), 99);
    for (name, zone) in servers {
        other.put(record(name, zone), START);
    }
    let mut differ = 0;
    for object in 0..200 {
        let (first, second) = (choose(&mut one, object), choose(&mut other, object));
        differ += u32::from(first != second);
        one.end_attempt(&first, AttemptEnd::Answered, START);
        other.end_attempt(&second, AttemptEnd::Answered, START);
    }
    // One choice in eight of each looks at far servers, too, and goes by load.
    assert!(differ <= 200 / 3, "{differ} of 200 objects at different servers");
    let mut backends = table(&servers);
    let all: Vec<BackendId> = (0..8).map(|_| choose(&mut backends, 1)).collect();
    let busiest = all.iter().filter(|id| **id == all[0]).count();
    assert!(busiest < 8, "all eight at once went to one server of four slots: {all:?}");
}
