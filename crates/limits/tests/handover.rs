//! What a new keeper learns of programs that an earlier one admitted, and the order in which a gateway
//! without a keeper lets refused programs come back.

use dahlia_limits::{
    ActiveProgramReport, Admission, KeeperAnswer, KeeperTerm, LimitCommand, LimitGateway,
    LimitKeeper, LimitReply, LimitSettings, PastRequests, ProgramHandover, ProgramKey,
    ProgramMeans, ProgramProgress, ProgramRequest, RateLimit, TenantUsage, UsageReport, Verdict,
    VersionedLimit,
};
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, TenantId, Timestamp};

const START: Timestamp = Timestamp(1_000_000_000);
const KEEPER: GroupId = GroupId(0);
const STARTED: ProgramKey = ProgramKey(7);
const NEW: ProgramKey = ProgramKey(8);

fn after(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn oak() -> TenantId {
    TenantId::new("oak")
}

/// 73 requests may pass in any five seconds.
fn limit() -> VersionedLimit {
    let limit = RateLimit::new(10.0, 10.0).expect("a limit").expect("some");
    VersionedLimit { generation: 1, limit }
}

fn window_settings() -> LimitSettings {
    LimitSettings {
        window_s: 5.0,
        tolerated_excess: 0.1,
        tolerated_requests: 20.0,
        ..LimitSettings::default()
    }
}

fn progress(requests: u32) -> ProgramProgress {
    let (age, idle) = (Duration::from_millis(900), Duration::from_millis(100));
    ProgramProgress { requests, age, idle }
}

/// A gateway's first report to a keeper: as many requests passed before the keeper.
fn report(gateway: u32, requests: u32, handover: ProgramHandover) -> LimitCommand {
    let usage = TenantUsage {
        tenant: oak(),
        limit: limit(),
        requests: Vec::new(),
        delayed: Vec::new(),
        refunded: Vec::new(),
        past: vec![PastRequests { age: Duration::from_millis(500), requests }],
    };
    LimitCommand::Report(UsageReport {
        gateway: DaemonId(gateway),
        incarnation: Incarnation(1),
        sequence: 1,
        usage: vec![usage],
        handover,
    })
}

fn ask(program: ProgramKey, progress: Option<ProgramProgress>) -> LimitCommand {
    let max_wait = Duration::ZERO;
    LimitCommand::Ask { tenant: oak(), limit: limit(), program: Some(program), max_wait, progress }
}

fn passes(keeper: &mut LimitKeeper, command: LimitCommand, now: Timestamp) -> bool {
    match keeper.serve(command, now) {
        LimitReply::Answer { verdict, .. } => matches!(verdict, Verdict::Pass { .. }),
        other => panic!("a question has an answer: {other:?}"),
    }
}

fn means(requests: u32) -> ProgramMeans {
    ProgramMeans { request_hundredths: requests * 100, duration: Duration::from_secs(2) }
}

/// A keeper that took over 70 requests of the window: there are permits for a few requests, and for no
/// further program.
fn nearly_full_keeper() -> LimitKeeper {
    let mut keeper = LimitKeeper::new(window_settings(), KeeperTerm(2), START);
    keeper.serve(report(1, 70, ProgramHandover::default()), START);
    keeper
}

/// Programs that never had a request pass went before those that had: the next keeper knew neither.
#[test]
fn started_program_goes_on_where_a_new_one_is_refused() {
    struct Case {
        name: &'static str,
        program: ProgramKey,
        progress: Option<ProgramProgress>,
        at_ms: u64,
        passes: bool,
    }
    let new = Some(ProgramProgress::default());
    let cases = [
        Case {
            name: "started",
            program: STARTED,
            progress: Some(progress(4)),
            at_ms: 1_500,
            passes: true,
        },
        Case { name: "new", program: NEW, progress: new, at_ms: 1_500, passes: false },
        Case {
            name: "an earlier build",
            program: NEW,
            progress: None,
            at_ms: 1_500,
            passes: false,
        },
        Case {
            name: "at once",
            program: STARTED,
            progress: Some(progress(4)),
            at_ms: 10,
            passes: true,
        },
        Case { name: "new, at once", program: NEW, progress: new, at_ms: 10, passes: false },
        // It may have started: an earlier build does not say.
        Case {
            name: "an earlier build, at once",
            program: NEW,
            progress: None,
            at_ms: 10,
            passes: true,
        },
    ];
    for Case { name, program, progress, at_ms, passes: expected } in cases {
        let found = passes(&mut nearly_full_keeper(), ask(program, progress), after(at_ms));
        assert_eq!(found, expected, "{name}");
    }
}

/// A caller may send the next request of its program to another gateway.
#[test]
fn program_that_a_gateway_reported_goes_on_at_another_gateway() {
    let mut keeper = LimitKeeper::new(window_settings(), KeeperTerm(2), START);
    let started = ActiveProgramReport { tenant: oak(), program: STARTED, progress: progress(4) };
    let handover = ProgramHandover { means: None, programs: vec![started] };
    keeper.serve(report(1, 70, handover), START);
    let first_there = Some(ProgramProgress::default());
    assert!(passes(&mut keeper, ask(STARTED, first_there), after(500)));
    assert!(!passes(&mut keeper, ask(NEW, first_there), after(500)));
}

/// A keeper that does not know how long programs are admits more than it can serve to their ends.
#[test]
fn new_keeper_admits_programs_by_the_means_of_the_last_one() {
    let admitted = |told: &[u32]| {
        let mut keeper = LimitKeeper::new(window_settings(), KeeperTerm(2), START);
        for (gateway, requests) in told.iter().enumerate() {
            let means = (*requests > 0).then(|| means(*requests));
            let handover = ProgramHandover { means, programs: Vec::new() };
            // 39 requests leave room for three programs of ten requests, or eight of four.
            let requests = if gateway == 0 { 39 } else { 1 };
            keeper.serve(report(gateway as u32, requests, handover), START);
        }
        let new = Some(ProgramProgress::default());
        let programs = (0..20).map(|number| ask(ProgramKey(100 + number), new));
        programs.filter(|ask| passes(&mut keeper, ask.clone(), after(1_100))).count()
    };
    let (unknown, known) = (admitted(&[0]), admitted(&[10]));
    assert!(known < unknown, "{known} and {unknown} programs");
    // One odd report of several changes nothing.
    assert_eq!(admitted(&[10, 10, 1]), known);
    assert_eq!(admitted(&[10, u32::MAX / 100, 10]), known);
}

fn new_gateway() -> LimitGateway {
    LimitGateway::new(window_settings(), DaemonId(1), Incarnation(1))
}

fn told_progress(
    gateway: &LimitGateway,
    program: ProgramKey,
    continues: bool,
    now: Timestamp,
) -> Option<ProgramProgress> {
    let request = Some(ProgramRequest { program, continues });
    match gateway.question(KEEPER, &oak(), limit(), request, Duration::ZERO, now) {
        LimitCommand::Ask { progress, .. } => progress,
        other => panic!("a question: {other:?}"),
    }
}

/// The keeper must tell programs that start from those that a gateway has merely forgotten.
#[test]
fn gateway_tells_what_passed_of_a_program() {
    let mut gateway = new_gateway();
    for ms in [0, 200, 400] {
        gateway.admit(KEEPER, &oak(), limit(), Some(STARTED), after(ms));
        let report = gateway.due_report(KEEPER, after(ms)).expect("a request");
        let counted = LimitReply::Counted { scarce: vec![], keeper: KeeperTerm(1), means: None };
        gateway.handle_acknowledgement(KEEPER, report.sequence, &counted, after(ms));
    }
    let (age, idle) = (Duration::from_millis(500), Duration::from_millis(100));
    let started = ProgramProgress { requests: 3, age, idle };
    assert_eq!(told_progress(&gateway, STARTED, false, after(500)), Some(started));
    assert_eq!(told_progress(&gateway, NEW, false, after(500)), Some(ProgramProgress::default()));
    // The request names an earlier one, which passed elsewhere or long ago.
    let elsewhere = told_progress(&gateway, NEW, true, after(500)).expect("it has started");
    assert_eq!(elsewhere.requests, 1);
    let restarted = new_gateway().after_restart(START);
    assert_eq!(told_progress(&restarted, NEW, false, after(500)), None);
    assert!(told_progress(&restarted, NEW, true, after(500)).is_some());
}

/// A keeper counted requests twice that it was told of by a question and then by a report. It took programs
/// for longer than they are, and admitted fewer than it could serve: at 354 a second and 7.5 times the usual load
/// 0.302 instead of 0.321 was earned.
#[test]
fn question_does_not_tell_what_a_report_will() {
    let mut gateway = new_gateway();
    for ms in [0, 200, 400] {
        gateway.admit(KEEPER, &oak(), limit(), Some(STARTED), after(ms));
    }
    let unreported = told_progress(&gateway, STARTED, false, after(500)).expect("it started");
    assert_eq!(unreported.requests, 1, "it has started, and the rest is in the next report");
    gateway.due_report(KEEPER, after(500)).expect("three requests");
    gateway.admit(KEEPER, &oak(), limit(), Some(STARTED), after(600));
    let in_flight = told_progress(&gateway, STARTED, false, after(700)).expect("it started");
    assert_eq!(in_flight.requests, 1);
}

/// The means that a keeper told outlive it, and only its successor is told.
#[test]
fn gateway_hands_over_programs_and_means_to_a_new_keeper_only() {
    let mut gateway = new_gateway();
    gateway.admit(KEEPER, &oak(), limit(), Some(STARTED), START);
    let first = gateway.due_report(KEEPER, START).expect("a request");
    let counted =
        LimitReply::Counted { scarce: vec![oak()], keeper: KeeperTerm(1), means: Some(means(10)) };
    gateway.handle_acknowledgement(KEEPER, first.sequence, &counted, START);
    gateway.admit(KEEPER, &oak(), limit(), Some(STARTED), after(100));
    let verdict = Verdict::Pass { after: Duration::ZERO };
    let answer = |term| KeeperAnswer { verdict, is_scarce: true, keeper: KeeperTerm(term) };
    gateway.handle_answer(KEEPER, &oak(), Some(STARTED), answer(1), after(200));
    assert_eq!(gateway.due_report(KEEPER, after(200)), None, "nothing is new to the keeper");
    gateway.handle_answer(KEEPER, &oak(), Some(STARTED), answer(2), after(300));
    let report = gateway.due_report(KEEPER, after(300)).expect("there is a new keeper");
    assert_eq!(report.handover.means, Some(means(10)));
    let programs: Vec<_> = report.handover.programs.iter().map(|told| told.program).collect();
    assert_eq!(programs, [STARTED]);
}

/// Refused programs were all told the time of the next permit. One got it, the others came back in vain and
/// failed.
#[test]
fn programs_refused_without_a_keeper_are_told_different_times_that_hold() {
    let mut gateway = new_gateway();
    gateway.set_gateway_count(1_000, START);
    let verdict = Verdict::Pass { after: Duration::ZERO };
    let answer = KeeperAnswer { verdict, is_scarce: true, keeper: KeeperTerm(1) };
    let programs: Vec<ProgramKey> = (1..=4).map(ProgramKey).collect();
    for (number, program) in programs.iter().enumerate() {
        let now = after(300 * number as u64);
        gateway.admit(KEEPER, &oak(), limit(), Some(*program), now);
        gateway.handle_answer(KEEPER, &oak(), Some(*program), answer, now);
    }
    let decide = |gateway: &mut LimitGateway, program, now| {
        gateway.admit_without_keeper(KEEPER, &oak(), limit(), Some(program), now)
    };
    // The requests of the window leave it 300 ms apart, the first one 100 ms from now.
    let now = after(4_900);
    let mut returns = Vec::new();
    for program in programs {
        match decide(&mut gateway, program, now) {
            Admission::Refuse { retry_after } => returns.push((now + retry_after, program)),
            other => panic!("the window is full: {other:?}"),
        }
    }
    returns.sort_unstable();
    for (at, program) in returns {
        let admission = decide(&mut gateway, program, at);
        assert!(matches!(admission, Admission::Pass { .. }), "{program:?}: {admission:?}");
    }
}
