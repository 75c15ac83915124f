//! The circuit breaker of ledgers.

use dahlia_daemon::ledger_breaker::{Admission, LedgerBreaker, LedgerBreakerSettings, Stage};
use dahlia_types::{Duration, GroupId, Timestamp};

const GROUP: GroupId = GroupId(1);
const PATIENCE: Duration = Duration::from_secs(4);
const WAIT: Duration = Duration::from_millis(1_200);
const REFUSED: Admission = Admission::Refuse { retry_after: Duration::from_millis(400) };

const NOW: Timestamp = Timestamp(1_000_000);

/// A breaker that holds no callers during an election.
fn breaker_without_holds() -> LedgerBreaker {
    LedgerBreaker::new(LedgerBreakerSettings { most_held: 0, ..LedgerBreakerSettings::default() })
}

fn admit(breaker: &mut LedgerBreaker, group: GroupId, patience: Duration) -> Admission {
    breaker.admit(group, Stage::UnderWay, patience, NOW)
}

#[test]
fn an_unresponsive_group_gets_one_probe_at_a_time_until_it_answers() {
    let mut breaker = breaker_without_holds();
    for _ in 0..3 {
        assert_eq!(admit(&mut breaker, GROUP, PATIENCE), Admission::Ask { wait: WAIT });
    }
    breaker.record_timeout(GROUP, WAIT, NOW);
    assert_eq!(admit(&mut breaker, GROUP, PATIENCE), Admission::Probe { wait: WAIT });
    assert_eq!(admit(&mut breaker, GROUP, PATIENCE), REFUSED);
    assert_eq!(admit(&mut breaker, GroupId(2), PATIENCE), Admission::Ask { wait: WAIT });
    breaker.record_timeout(GROUP, WAIT, NOW);
    assert_eq!(
        admit(&mut breaker, GROUP, PATIENCE),
        REFUSED,
        "a time-out of another command does not end the probe"
    );
    breaker.end_probe(GROUP);
    assert_eq!(admit(&mut breaker, GROUP, PATIENCE), Admission::Probe { wait: WAIT });
    breaker.record_answer(GROUP);
    breaker.end_probe(GROUP);
    assert_eq!(admit(&mut breaker, GROUP, PATIENCE), Admission::Ask { wait: WAIT });
}

#[test]
fn a_caller_with_little_time_waits_for_its_share_and_its_time_out_is_ignored() {
    let mut breaker = breaker_without_holds();
    let share = Duration::from_millis(350);
    let admission = admit(&mut breaker, GROUP, Duration::from_secs(1));
    assert_eq!(admission, Admission::Ask { wait: share });
    breaker.record_timeout(GROUP, share, NOW);
    assert_eq!(admit(&mut breaker, GROUP, PATIENCE), Admission::Ask { wait: WAIT });
    breaker.record_missing_owner(GROUP, NOW);
    assert_eq!(admit(&mut breaker, GROUP, PATIENCE), Admission::Probe { wait: WAIT });
}

#[test]
fn settings_out_of_range_are_named() {
    let wrong = LedgerBreakerSettings { most_of_patience: 2.0, ..Default::default() };
    let error = wrong.check().expect_err("more than there is").to_string();
    assert!(error.contains("ledger_breaker.most_of_patience"), "{error}");
}

/// Callers of a group whose owner is lost wait for the new owner, since they are few and the election is
/// short.
#[test]
fn callers_are_held_during_an_election_and_first_turns_get_half_of_the_capacity() {
    let settings = LedgerBreakerSettings { most_held: 4, ..LedgerBreakerSettings::default() };
    let election_time = Duration::from_millis(settings.succession_ms);
    let mut breaker = LedgerBreaker::new(settings);
    breaker.record_missing_owner(GROUP, NOW);
    let held = Admission::Hold { wait: WAIT };
    let ask = |breaker: &mut LedgerBreaker, stage, now| breaker.admit(GROUP, stage, PATIENCE, now);
    for _ in 0..2 {
        assert_eq!(ask(&mut breaker, Stage::First, NOW), held);
    }
    let third = ask(&mut breaker, Stage::First, NOW);
    assert_eq!(third, Admission::Probe { wait: WAIT }, "no capacity is left, and no probe is open");
    assert_eq!(ask(&mut breaker, Stage::First, NOW), REFUSED);
    for _ in 0..2 {
        assert_eq!(ask(&mut breaker, Stage::UnderWay, NOW), held);
    }
    assert_eq!(ask(&mut breaker, Stage::UnderWay, NOW), REFUSED);
    breaker.end_hold(GROUP);
    assert_eq!(ask(&mut breaker, Stage::First, NOW), REFUSED);
    assert_eq!(ask(&mut breaker, Stage::UnderWay, NOW), held);
    for _ in 0..4 {
        breaker.end_hold(GROUP);
    }
    // No owner was elected in time, so neither holding callers nor an early retry helps.
    let later = NOW + election_time;
    let refused = Admission::Refuse { retry_after: Duration::from_millis(1_000) };
    assert_eq!(ask(&mut breaker, Stage::UnderWay, later), refused);
    breaker.end_probe(GROUP);
    assert_eq!(ask(&mut breaker, Stage::First, later), Admission::Probe { wait: WAIT });
    breaker.record_answer(GROUP);
    assert_eq!(ask(&mut breaker, Stage::First, later), Admission::Ask { wait: WAIT });
}
