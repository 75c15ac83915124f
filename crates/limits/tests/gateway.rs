//! Tests of what a gateway admits, reports and forgets, one event at a time.

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

fn limit_of_generation(generation: u64) -> VersionedLimit {
    let limit = RateLimit::new(400.0, 400.0).expect("a limit").expect("some");
    VersionedLimit { generation, limit }
}

fn admit(gateway: &mut LimitGateway, now: Timestamp) -> Admission {
    gateway.admit(KEEPER, &oak(), limit_of_generation(1), Some(ProgramKey(7)), now)
}

fn acknowledgement(is_scarce: bool) -> LimitReply {
    let scarce = if is_scarce { vec![oak()] } else { Vec::new() };
    LimitReply::Counted { scarce, keeper: KeeperTerm(1), means: None }
}

fn pass_answer(is_scarce: bool, term: u64) -> KeeperAnswer {
    let verdict = Verdict::Pass { after: Duration::ZERO };
    KeeperAnswer { verdict, is_scarce, keeper: KeeperTerm(term) }
}

/// Returns the number of requests in a report that were admitted without asking.
fn request_count(report: &UsageReport) -> usize {
    report.usage.iter().map(|usage| usage.requests.len()).sum()
}

#[test]
fn requests_pass_without_asking_unless_permits_are_scarce() {
    let mut gateway = gateway();
    assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: false });
    let report = gateway.due_report(KEEPER, START).expect("one was admitted");
    gateway.handle_acknowledgement(KEEPER, report.sequence, &acknowledgement(true), START);
    assert_eq!(admit(&mut gateway, START), Admission::Ask);
    gateway.handle_answer(KEEPER, &oak(), Some(ProgramKey(7)), pass_answer(false, 1), START);
    assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: false });
}

#[test]
fn report_is_due_at_once_after_a_hundredth_of_the_rate() {
    let mut gateway = gateway();
    for _ in 0..3 {
        assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: false });
    }
    assert_eq!(admit(&mut gateway, START), Admission::Pass { report_now: true });
}

#[test]
fn failed_report_is_sent_again_with_its_sequence_number() {
    let mut gateway = gateway();
    admit(&mut gateway, START);
    let first = gateway.due_report(KEEPER, START).expect("one was admitted");
    admit(&mut gateway, START);
    assert_eq!(gateway.due_report(KEEPER, START), None, "the first is in flight");
    gateway.mark_report_failed(KEEPER);
    assert_eq!(gateway.due_report(KEEPER, START).as_ref(), Some(&first));
    gateway.handle_acknowledgement(KEEPER, first.sequence, &acknowledgement(false), START);
    let second = gateway.due_report(KEEPER, START).expect("the second request");
    assert_eq!((request_count(&second), second.sequence), (1, first.sequence + 1));
}

#[test]
fn old_requests_are_not_reported() {
    let mut gateway = gateway();
    admit(&mut gateway, START);
    gateway.due_report(KEEPER, START).expect("one was admitted");
    admit(&mut gateway, START + Duration::from_secs(1));
    let later = START + Duration::from_millis(5_500);
    gateway.mark_report_failed(KEEPER);
    admit(&mut gateway, later);
    let report =
        gateway.due_report(KEEPER, later).expect("two requests within five and a half seconds");
    assert_eq!(request_count(&report), 2, "the first is too old");
    gateway.handle_acknowledgement(KEEPER, report.sequence, &acknowledgement(false), later);
    admit(&mut gateway, later);
    let much_later = later + Duration::from_secs(5);
    let left = gateway.due_report(KEEPER, much_later);
    assert_eq!(left.map_or(0, |report| request_count(&report)), 0, "nothing is new enough");
}

#[test]
fn old_requests_are_reported_if_the_window_still_holds_them() {
    let settings = LimitSettings {
        window_s: 10.0,
        tolerated_excess: 0.1,
        tolerated_requests: 20.0,
        ..LimitSettings::default()
    };
    for (settings, age_s, reported) in [(LimitSettings::default(), 6, 1), (settings, 6, 2)] {
        let mut gateway = LimitGateway::new(settings, DaemonId(1), Incarnation(1));
        admit(&mut gateway, START);
        let later = START + Duration::from_secs(age_s);
        admit(&mut gateway, later);
        let report = gateway.due_report(KEEPER, later).expect("two were admitted");
        let past: Vec<_> = report.usage.iter().flat_map(|usage| &usage.past).collect();
        assert_eq!(request_count(&report) + past.len(), reported);
        let has_its_age =
            |past: &&PastRequests| past.requests == 1 && past.age == Duration::from_secs(age_s);
        assert!(past.iter().all(has_its_age), "{past:?}");
    }
}

#[test]
fn gateway_without_a_keeper_admits_its_usual_rate() {
    let mut gateway = gateway();
    gateway.set_gateway_count(73, START);
    // Ten requests a second. No report is answered from the start on.
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
    assert!(usual >= 50, "{usual} of 100 requests at the usual rate");
    let many = passed(&mut gateway, 13, 23, 100);
    assert!(many <= 150, "{many} of 1,000 requests at ten times the usual rate");
}

#[test]
fn refund_is_reported_at_once_while_permits_are_scarce() {
    let mut gateway = gateway();
    let program = Some(ProgramKey(7));
    admit(&mut gateway, START);
    assert!(!gateway.refund(KEEPER, &oak(), program, START));
    let report = gateway.due_report(KEEPER, START).expect("the request and its refund");
    assert_eq!(report.usage[0].refunded, [program]);
    gateway.handle_acknowledgement(KEEPER, report.sequence, &acknowledgement(true), START);
    assert!(gateway.refund(KEEPER, &oak(), program, START));
}

/// Calls of one program come many at a time. The keeper must know of all of them two messages later.
#[test]
fn requests_admitted_while_a_report_is_in_flight_are_due_right_after_it() {
    let mut gateway = gateway();
    admit(&mut gateway, START);
    let report = gateway.due_report(KEEPER, START).expect("one was admitted");
    for _ in 0..4 {
        admit(&mut gateway, START);
    }
    assert!(!gateway.is_report_due(KEEPER, START), "one is in flight");
    gateway.handle_acknowledgement(KEEPER, report.sequence, &acknowledgement(false), START);
    assert!(gateway.is_report_due(KEEPER, START));
    let rest = gateway.due_report(KEEPER, START).expect("the others");
    assert_eq!(request_count(&rest), 4);
    gateway.handle_acknowledgement(KEEPER, rest.sequence, &acknowledgement(false), START);
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

/// After a restart of all processes, none of them knows what passed in the window before.
#[test]
fn restarted_gateway_asks_waits_and_reports_its_restart() {
    let new_gateway = || LimitGateway::new(window_settings(), DaemonId(1), Incarnation(2));
    let max_wait = Duration::from_secs(2);
    let mut first = new_gateway();
    assert_eq!(admit(&mut first, START), Admission::Pass { report_now: false });
    assert!(first.answer_timeout(KEEPER, max_wait, START) < max_wait);
    let mut gateway = new_gateway().after_restart(START);
    assert_eq!(admit(&mut gateway, START), Admission::Ask);
    assert_eq!(gateway.answer_timeout(KEEPER, max_wait, START), max_wait);
    let admission =
        gateway.admit_without_keeper(KEEPER, &oak(), limit_of_generation(1), None, START);
    assert!(matches!(admission, Admission::Refuse { .. }), "{admission:?}");
    let later = START + Duration::from_secs(1);
    gateway.handle_answer(KEEPER, &oak(), None, pass_answer(true, 4), later);
    assert!(gateway.is_report_due(KEEPER, later), "the keeper must learn of the restart at once");
    let report = gateway.due_report(KEEPER, later).expect("its restart");
    let marker = PastRequests { age: Duration::from_secs(1), requests: 0 };
    assert_eq!(report.usage[0].past, [marker]);
    gateway.handle_acknowledgement(KEEPER, report.sequence, &acknowledgement(true), later);
    assert!(gateway.answer_timeout(KEEPER, max_wait, later) < max_wait);
    let long_after = START + Duration::from_secs(7);
    assert_eq!(admit(&mut gateway, long_after), Admission::Pass { report_now: false });
}

/// In a partition, as many requests pass as before it, those of active programs first.
#[test]
fn gateway_without_a_keeper_admits_no_more_than_in_the_last_known_window() {
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
        gateway.handle_answer(KEEPER, &oak(), Some(ProgramKey(1)), pass_answer(true, 1), now);
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

/// Requests are reported to the next keeper even if they reached the last one late.
#[test]
fn requests_reported_late_are_reported_to_the_next_keeper_too() {
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    for _ in 0..3 {
        admit(&mut gateway, START);
    }
    let later = START + Duration::from_secs(2);
    let late = gateway.due_report(KEEPER, later).expect("three were admitted");
    assert_eq!(late.usage[0].past.len(), 3);
    gateway.handle_acknowledgement(KEEPER, late.sequence, &acknowledgement(false), later);
    let next = START + Duration::from_secs(3);
    gateway.handle_answer(KEEPER, &oak(), None, pass_answer(true, 2), next);
    let report = gateway.due_report(KEEPER, next).expect("the next keeper must be told");
    let past = PastRequests { age: Duration::from_secs(3), requests: 1 };
    assert_eq!(report.usage[0].past, [past; 3]);
}

#[test]
fn gateway_without_a_keeper_stops_a_looping_program() {
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    gateway.set_gateway_count(10, START);
    let limit = VersionedLimit {
        generation: 1,
        limit: RateLimit::new(10.0, 10.0).expect("a limit").expect("some"),
    };
    let program = Some(ProgramKey(1));
    let pass = |_: &u32| {
        let admission = gateway.admit_without_keeper(KEEPER, &oak(), limit, program, START);
        matches!(admission, Admission::Pass { .. })
    };
    let passed = (0..100).filter(pass).count();
    assert!((4..=20).contains(&passed), "{passed}");
}

/// An entry without requests would mark a restart.
#[test]
fn refunds_are_not_reported_as_a_restart() {
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    admit(&mut gateway, START);
    let first = gateway.due_report(KEEPER, START).expect("one was admitted");
    gateway.handle_acknowledgement(KEEPER, first.sequence, &acknowledgement(false), START);
    gateway.refund(KEEPER, &oak(), None, START);
    let later = START + Duration::from_secs(1);
    let refund = gateway.due_report(KEEPER, later).expect("a permit was refunded");
    gateway.handle_acknowledgement(KEEPER, refund.sequence, &acknowledgement(false), later);
    gateway.handle_answer(KEEPER, &oak(), None, pass_answer(false, 2), later);
    let report = gateway.due_report(KEEPER, later).expect("the next keeper must be told");
    let past = PastRequests { age: Duration::from_secs(1), requests: 1 };
    assert_eq!(report.usage[0].past, [past]);
}

/// Callers try a request a few times. Without this, all tries of a program under way ended in refusals by
/// its gateway while no keeper was there.
#[test]
fn request_of_a_started_program_waits_for_the_next_keeper() {
    let limit = VersionedLimit {
        generation: 1,
        limit: RateLimit::new(10.0, 10.0).expect("a limit").expect("some"),
    };
    let (started, new) = (Some(ProgramKey(1)), Some(ProgramKey(2)));
    let max_wait = Duration::from_millis(1_300);
    let mut gateway = LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1));
    gateway.set_gateway_count(1_000, START);
    assert_eq!(gateway.admit(KEEPER, &oak(), limit, started, START), Admission::Ask);
    gateway.handle_answer(KEEPER, &oak(), started, pass_answer(true, 1), START);
    gateway.due_report(KEEPER, START + Duration::from_millis(500)).expect("a keepalive");
    let cases = [("overdue", 1_000), ("silent", 3_000)];
    for (name, at_ms) in cases {
        let now = START + Duration::from_millis(at_ms);
        assert_eq!(gateway.admit(KEEPER, &oak(), limit, started, now), Admission::Ask, "{name}");
        let mut timeout =
            |program| gateway.program_answer_timeout(KEEPER, &oak(), program, max_wait, now);
        assert_eq!(timeout(started), max_wait, "{name}");
        assert!(timeout(new) < max_wait, "{name}");
    }
    // The program's first request leaves the window, and there is room for one more.
    let shortly_before = START + Duration::from_millis(4_500);
    let timeout = gateway.program_answer_timeout(KEEPER, &oak(), started, max_wait, shortly_before);
    assert_eq!(timeout, Duration::from_millis(500));
    let new = gateway.admit(KEEPER, &oak(), limit, new, shortly_before);
    assert!(matches!(new, Admission::Refuse { .. }), "{new:?}");
}
