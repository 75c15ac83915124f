//! What a gateway admits, reports and forgets, by single events.

use dahlia_limits::{
    Admission, KeeperAnswer, KeeperTerm, LimitGateway, LimitReply, LimitSettings, PastRequests,
    ProgramKey, RateLimit, UsageReport, Verdict, VersionedLimit,
};
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, TenantId, Timestamp};

const START: Timestamp = Timestamp(1_000_000_000);
const KEEPER: GroupId = GroupId(3);

fn gateway() -> LimitGateway {
    LimitGateway::new(LimitSettings::default(), DaemonId(1), Incarnation(1))
}

fn oak() -> TenantId {
    TenantId::new("oak")
}

fn known(generation: u64) -> VersionedLimit {
    let limit = RateLimit::new(400.0, 400.0).expect("a limit").expect("some");
    VersionedLimit { generation, limit }
}

fn admit(gateway: &mut LimitGateway, now: Timestamp) -> Admission {
    gateway.admit(KEEPER, &oak(), known(1), Some(ProgramKey(7)), now)
}

fn counted(scarce: bool) -> LimitReply {
    let scarce = if scarce { vec![oak()] } else { Vec::new() };
    LimitReply::Counted { scarce, keeper: KeeperTerm(1) }
}

fn passes(is_scarce: bool, term: u64) -> KeeperAnswer {
    let verdict = Verdict::Pass { after: Duration::ZERO };
    KeeperAnswer { verdict, is_scarce, keeper: KeeperTerm(term) }
}

/// Requests in a report.
fn requests(report: &UsageReport) -> usize {
    report.usage.iter().map(|usage| usage.requests.len()).sum()
}

#[test]
fn requests_pass_unasked_until_permits_are_scarce_and_again_when_they_are_not() {
    let mut gateway = gateway();
    assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: false });
    let report = gateway.due_report(KEEPER, START).expect("one was admitted");
    gateway.handle_acknowledgement(KEEPER, report.sequence, &counted(true), START);
    assert_eq!(admit(&mut gateway, START), Admission::Ask);
    gateway.handle_answer(KEEPER, &oak(), Some(ProgramKey(7)), passes(false, 1), START);
    assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: false });
}

#[test]
fn a_hundredth_of_the_rate_unreported_is_reported_at_once() {
    let mut gateway = gateway();
    for _ in 0..3 {
        assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: false });
    }
    assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: true });
}

#[test]
fn a_report_without_an_answer_comes_again_under_its_number_and_is_never_sent_twice_at_once() {
    let mut gateway = gateway();
    admit(&mut gateway, START);
    let first = gateway.due_report(KEEPER, START).expect("one was admitted");
    admit(&mut gateway, START);
    assert_eq!(gateway.due_report(KEEPER, START), None, "the first is on its way");
    gateway.mark_report_failed(KEEPER);
    assert_eq!(gateway.due_report(KEEPER, START).as_ref(), Some(&first));
    gateway.handle_acknowledgement(KEEPER, first.sequence, &counted(false), START);
    let second = gateway.due_report(KEEPER, START).expect("the second request");
    assert_eq!((requests(&second), second.sequence), (1, first.sequence + 1));
}

#[test]
fn what_was_admitted_long_ago_is_not_reported_any_more() {
    let mut gateway = gateway();
    admit(&mut gateway, START);
    gateway.due_report(KEEPER, START).expect("one was admitted");
    admit(&mut gateway, START + Duration::from_secs(1));
    let later = START + Duration::from_millis(5_500);
    gateway.mark_report_failed(KEEPER);
    admit(&mut gateway, later);
    let report = gateway.due_report(KEEPER, later).expect("two of five and a half seconds");
    assert_eq!(requests(&report), 2, "the first is too old");
    gateway.handle_acknowledgement(KEEPER, report.sequence, &counted(false), later);
    admit(&mut gateway, later);
    let much_later = later + Duration::from_secs(5);
    let left = gateway.due_report(KEEPER, much_later);
    assert_eq!(left.map_or(0, |report| requests(&report)), 0, "nothing is new enough");
}

#[test]
fn what_a_longer_window_still_holds_is_reported_however_long_ago_it_was_admitted() {
    let settings = LimitSettings {
        window_s: 10.0,
        tolerated_excess: 0.1,
        tolerated_requests: 20.0,
        ..LimitSettings::default()
    };
    for (settings, ago_s, reported) in [(LimitSettings::default(), 6, 1), (settings, 6, 2)] {
        let mut gateway = LimitGateway::new(settings, DaemonId(1), Incarnation(1));
        admit(&mut gateway, START);
        let later = START + Duration::from_secs(ago_s);
        admit(&mut gateway, later);
        let report = gateway.due_report(KEEPER, later).expect("two were admitted");
        let earlier: Vec<_> = report.usage.iter().flat_map(|usage| &usage.past).collect();
        assert_eq!(requests(&report) + earlier.len(), reported);
        let has_its_time = |earlier: &&PastRequests| {
            earlier.requests == 1 && earlier.age == Duration::from_secs(ago_s)
        };
        assert!(earlier.iter().all(has_its_time), "{earlier:?}");
    }
}

#[test]
fn without_a_keeper_a_gateway_goes_on_at_its_usual_rate() {
    let mut gateway = gateway();
    gateway.set_gateway_count(73, START);
    // Ten a second, reported in vain from the start on.
    let passed = |gateway: &mut LimitGateway, from: u64, until: u64, per_second: u64| {
        let mut passed = 0;
        for request in 0..(until - from) * per_second {
            let now = START + Duration::from_millis(from * 1_000 + request * 1_000 / per_second);
            gateway.due_report(KEEPER, now);
            gateway.mark_report_failed(KEEPER);
            passed += u32::from(matches!(admit(gateway, now), Admission::Pass { .. }));
        }
        passed
    };
    passed(&mut gateway, 0, 2, 10);
    assert!(gateway.is_keeper_unresponsive(KEEPER, START + Duration::from_secs(3)));
    let usual = passed(&mut gateway, 3, 13, 10);
    assert!(usual >= 50, "{usual} of 100 requests as usual");
    let many = passed(&mut gateway, 13, 23, 100);
    assert!(many <= 150, "{many} of 1,000 requests at ten times the usual");
}

#[test]
fn a_permit_that_is_given_back_is_reported_at_once_while_others_wait_for_it() {
    let mut gateway = gateway();
    let program = Some(ProgramKey(7));
    admit(&mut gateway, START);
    assert!(!gateway.refund(KEEPER, &oak(), program, START));
    let report = gateway.due_report(KEEPER, START).expect("both");
    assert_eq!(report.usage[0].refunded, [program]);
    gateway.handle_acknowledgement(KEEPER, report.sequence, &counted(true), START);
    assert!(gateway.refund(KEEPER, &oak(), program, START));
}

/// Calls of one program come many at a time; the keeper knows of all of them two messages later.
#[test]
fn what_passed_while_a_report_was_on_its_way_is_due_at_once_after_it() {
    let mut gateway = gateway();
    admit(&mut gateway, START);
    let report = gateway.due_report(KEEPER, START).expect("one was admitted");
    for _ in 0..4 {
        admit(&mut gateway, START);
    }
    assert!(!gateway.is_report_due(KEEPER, START), "one is on its way");
    gateway.handle_acknowledgement(KEEPER, report.sequence, &counted(false), START);
    assert!(gateway.is_report_due(KEEPER, START));
    let rest = gateway.due_report(KEEPER, START).expect("the others");
    assert_eq!(requests(&rest), 4);
    gateway.handle_acknowledgement(KEEPER, rest.sequence, &counted(false), START);
    assert!(!gateway.is_report_due(KEEPER, START));
}

fn window_settings() -> LimitSettings {
    LimitSettings {
        window_s: 5.0,
        tolerated_excess: 0.1,
        tolerated_requests: 20.0,
        ..LimitSettings::default()
    }
}

/// After a stop of everything, nobody knows what passed in the window before.
#[test]
fn a_gateway_in_a_later_life_asks_waits_and_says_what_it_has_forgotten() {
    let new = || LimitGateway::new(window_settings(), DaemonId(1), Incarnation(2));
    let most_wait = Duration::from_secs(2);
    let mut first = new();
    assert_eq!(admit(&mut first, START), Admission::Pass { report_now: false });
    assert!(first.answer_timeout(KEEPER, most_wait, START) < most_wait);
    let mut gateway = new().after_restart(START);
    assert_eq!(admit(&mut gateway, START), Admission::Ask);
    assert_eq!(gateway.answer_timeout(KEEPER, most_wait, START), most_wait);
    let alone = gateway.admit_without_keeper(KEEPER, &oak(), known(1), None, START);
    assert!(matches!(alone, Admission::Refuse { .. }), "{alone:?}");
    let later = START + Duration::from_secs(1);
    gateway.handle_answer(KEEPER, &oak(), None, passes(true, 4), later);
    assert!(gateway.is_report_due(KEEPER, later), "the keeper is to know of it at once");
    let report = gateway.due_report(KEEPER, later).expect("what it has forgotten");
    let forgotten = PastRequests { age: Duration::from_secs(1), requests: 0 };
    assert_eq!(report.usage[0].past, [forgotten]);
    gateway.handle_acknowledgement(KEEPER, report.sequence, &counted(true), later);
    assert!(gateway.answer_timeout(KEEPER, most_wait, later) < most_wait);
    let long_after = START + Duration::from_secs(7);
    assert_eq!(admit(&mut gateway, long_after), Admission::Pass { report_now: false });
}

/// Behind a cut, as many pass as before it, programs that are under way before others.
#[test]
fn without_a_keeper_a_window_holds_no_more_than_the_last_one_that_a_keeper_knew() {
    let limit = VersionedLimit {
        generation: 1,
        limit: RateLimit::new(10.0, 10.0).expect("a limit").expect("some"),
    };
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    gateway.set_gateway_count(1_000, START);
    let mut now = START;
    let mut passed = Vec::new();
    for _ in 0..8 {
        gateway.admit(KEEPER, &oak(), limit, Some(ProgramKey(1)), now);
        gateway.handle_answer(KEEPER, &oak(), Some(ProgramKey(1)), passes(true, 1), now);
        passed.push(now);
        now = now + Duration::from_millis(100);
    }
    for step in 0..100 {
        let at = now + Duration::from_millis(100 * step);
        let program = Some(ProgramKey(2 + step / 10));
        if let Admission::Pass { .. } =
            gateway.admit_without_keeper(KEEPER, &oak(), limit, program, at)
        {
            passed.push(at);
        }
    }
    let most = passed.iter().map(|last| {
        passed
            .iter()
            .filter(|at| **at <= *last && last.since(**at) < Duration::from_secs(5))
            .count()
    });
    assert!(passed.len() >= 16, "{}", passed.len());
    assert!(most.max() <= Some(8));
}

/// A keeper that comes after one that was told late learns of the same requests.
#[test]
fn what_was_told_late_is_told_to_the_next_keeper_too() {
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    for _ in 0..3 {
        admit(&mut gateway, START);
    }
    let later = START + Duration::from_secs(2);
    let late = gateway.due_report(KEEPER, later).expect("three were admitted");
    assert_eq!(late.usage[0].past.len(), 3);
    gateway.handle_acknowledgement(KEEPER, late.sequence, &counted(false), later);
    let next = START + Duration::from_secs(3);
    gateway.handle_answer(KEEPER, &oak(), None, passes(true, 2), next);
    let report = gateway.due_report(KEEPER, next).expect("the next keeper is to be told");
    let told = PastRequests { age: Duration::from_secs(3), requests: 1 };
    assert_eq!(report.usage[0].past, [told; 3]);
}

#[test]
fn without_a_keeper_a_program_that_loops_is_stopped() {
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    gateway.set_gateway_count(10, START);
    let limit = VersionedLimit {
        generation: 1,
        limit: RateLimit::new(10.0, 10.0).expect("a limit").expect("some"),
    };
    let program = Some(ProgramKey(1));
    let pass = |_: &u32| {
        let decided = gateway.admit_without_keeper(KEEPER, &oak(), limit, program, START);
        matches!(decided, Admission::Pass { .. })
    };
    let passed = (0..100).filter(pass).count();
    assert!((4..=20).contains(&passed), "{passed}");
}

/// An entry of no requests says that something is forgotten.
#[test]
fn permits_that_went_back_are_not_told_as_forgotten() {
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    admit(&mut gateway, START);
    let first = gateway.due_report(KEEPER, START).expect("one was admitted");
    gateway.handle_acknowledgement(KEEPER, first.sequence, &counted(false), START);
    gateway.refund(KEEPER, &oak(), None, START);
    let later = START + Duration::from_secs(1);
    let back = gateway.due_report(KEEPER, later).expect("a permit went back");
    gateway.handle_acknowledgement(KEEPER, back.sequence, &counted(false), later);
    gateway.handle_answer(KEEPER, &oak(), None, passes(false, 2), later);
    let report = gateway.due_report(KEEPER, later).expect("the next keeper is to be told");
    let told = PastRequests { age: Duration::from_secs(1), requests: 1 };
    assert_eq!(report.usage[0].past, [told]);
}
