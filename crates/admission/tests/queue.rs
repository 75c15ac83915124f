//! One queue, decision by decision.

use dahlia_admission::{
    AdmissionQueue, QueueRejection, QueuedRequest, Stage, TenantKey, Ticket, WaitingSettings,
};
use dahlia_types::{Duration, Timestamp, Tokens};

const NOW: Timestamp = Timestamp(1_000_000);

fn request() -> QueuedRequest {
    QueuedRequest {
        rank: 1,
        stage: Stage::First,
        tenant: TenantKey(0),
        cost: Tokens(10),
        bytes: 1_024,
        due: NOW + Duration::from_secs(10),
        leave_by: NOW + Duration::from_secs(1),
    }
}

fn queue(most_waiting: usize) -> AdmissionQueue {
    AdmissionQueue::new(WaitingSettings { most_waiting, ..WaitingSettings::default() })
}

fn join(queue: &mut AdmissionQueue, request: QueuedRequest) -> Ticket {
    queue.enqueue(request, NOW).expect("there is room").ticket
}

fn all(mut queue: AdmissionQueue) -> Vec<Ticket> {
    std::iter::from_fn(|| queue.dequeue(NOW)).collect()
}

#[test]
fn rank_goes_before_stage_and_stage_before_slack() {
    let mut queue = queue(8);
    let soon = join(&mut queue, QueuedRequest { due: NOW + Duration::from_secs(5), ..request() });
    let later = join(&mut queue, request());
    let under_way = join(&mut queue, QueuedRequest { stage: Stage::UnderWay, ..request() });
    let returning = join(&mut queue, QueuedRequest { stage: Stage::Returning, ..request() });
    let urgent = join(&mut queue, QueuedRequest { rank: 0, ..request() });
    assert_eq!(all(queue), [urgent, under_way, returning, soon, later]);
}

#[test]
fn what_can_no_longer_be_in_time_goes_after_what_can() {
    let mut queue = queue(8);
    queue.record_attempt_end(Duration::from_secs(2), NOW);
    let late = join(&mut queue, QueuedRequest { due: NOW + Duration::from_secs(1), ..request() });
    let in_time = join(&mut queue, request());
    assert_eq!(all(queue), [in_time, late]);
}

#[test]
fn tenants_go_in_turns_by_tokens() {
    let mut queue = queue(8);
    let many = [0; 3].map(|_| join(&mut queue, request()));
    let large = QueuedRequest { tenant: TenantKey(1), cost: Tokens(25), ..request() };
    let large = [0; 2].map(|_| join(&mut queue, large));
    assert_eq!(all(queue), [many[0], large[0], many[1], many[2], large[1]]);
}

#[test]
fn a_full_queue_takes_who_goes_before_and_lets_the_last_go() {
    let mut queue = queue(2);
    let first = join(&mut queue, QueuedRequest { stage: Stage::UnderWay, ..request() });
    let last = join(&mut queue, request());
    assert_eq!(queue.enqueue(request(), NOW), Err(QueueRejection::QueueFull));
    let urgent = queue.enqueue(QueuedRequest { rank: 0, ..request() }, NOW).expect("it goes first");
    assert_eq!(urgent.displaced, [last]);
    assert_eq!(all(queue), [urgent.ticket, first]);
}

#[test]
fn a_full_queue_lets_the_tenant_go_that_wants_most() {
    let mut queue = queue(4);
    let others = QueuedRequest { tenant: TenantKey(1), ..request() };
    join(&mut queue, others);
    let many = [0; 3].map(|_| join(&mut queue, request()));
    let joined = queue.enqueue(others, NOW).expect("it wants less");
    assert_eq!(joined.displaced, [many[2]]);
}

#[test]
fn bytes_are_bounded_as_well() {
    let settings = WaitingSettings { most_waiting_kb: 2, ..WaitingSettings::default() };
    let mut queue = AdmissionQueue::new(settings);
    join(&mut queue, request());
    let long = QueuedRequest { bytes: 1_500, ..request() };
    assert_eq!(queue.enqueue(long, NOW), Err(QueueRejection::QueueFull));
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_queue_of_none_refuses_at_once() {
    assert_eq!(queue(0).enqueue(request(), NOW), Err(QueueRejection::QueueFull));
}

#[test]
fn who_cannot_have_its_turn_in_time_is_refused_at_once() {
    let mut queue = queue(64);
    (0..4).for_each(|_| queue.record_attempt_end(Duration::from_millis(100), NOW));
    (0..20).for_each(|_| drop(queue.enqueue(request(), NOW)));
    let hurried = QueuedRequest { leave_by: NOW + Duration::from_millis(100), ..request() };
    assert_eq!(queue.enqueue(hurried, NOW), Err(QueueRejection::TooLate));
}

#[test]
fn those_who_are_refused_come_back_one_after_the_other_by_rank() {
    let mut queue = queue(0);
    (0..20).for_each(|_| queue.record_attempt_end(Duration::from_millis(100), NOW));
    let mut told =
        |rank| queue.retry_after(&QueuedRequest { rank, ..request() }, Duration::ZERO, NOW);
    let (first, second, urgent, third) = (told(1), told(1), told(0), told(1));
    assert!(urgent <= first && first < second && second < third);
}

#[test]
fn while_servers_are_full_no_more_programs_begin_than_can_be_served() {
    let mut queue = queue(64);
    let under_way = QueuedRequest { stage: Stage::UnderWay, ..request() };
    for _ in 0..10 {
        queue.record_dispatch(&request(), NOW);
        (0..3).for_each(|_| queue.record_dispatch(&under_way, NOW));
    }
    assert!(queue.may_skip_queue(&request(), NOW), "there was room for all");
    queue.record_servers_full(NOW);
    assert!(!queue.may_skip_queue(&request(), NOW));
    assert!(queue.may_skip_queue(&under_way, NOW));
    (0..45).for_each(|_| queue.record_attempt_end(Duration::from_millis(50), NOW));
    assert!(queue.may_skip_queue(&request(), NOW), "what was promised is served");
}

#[test]
fn a_setting_out_of_bounds_is_named() {
    let settings = WaitingSettings { wait_share: 2.0, ..WaitingSettings::default() };
    let error = settings.check().expect_err("more than a caller's time").to_string();
    assert!(error.contains("relay.waiting.wait_share"), "{error}");
}
