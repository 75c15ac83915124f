//! Tests of one queue, one decision at a time.

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

fn queue_of(most_waiting: usize) -> AdmissionQueue {
    AdmissionQueue::new(WaitingSettings { most_waiting, ..WaitingSettings::default() })
}

fn enqueue(queue: &mut AdmissionQueue, request: QueuedRequest) -> Ticket {
    queue.enqueue(request, NOW).expect("there is room").ticket
}

fn dequeue_all(mut queue: AdmissionQueue) -> Vec<Ticket> {
    std::iter::from_fn(|| queue.dequeue(NOW)).collect()
}

#[test]
fn requests_are_ordered_by_rank_then_stage_then_due_time() {
    let mut queue = queue_of(8);
    let soon =
        enqueue(&mut queue, QueuedRequest { due: NOW + Duration::from_secs(5), ..request() });
    let later = enqueue(&mut queue, request());
    let under_way = enqueue(&mut queue, QueuedRequest { stage: Stage::UnderWay, ..request() });
    let returning = enqueue(&mut queue, QueuedRequest { stage: Stage::Returning, ..request() });
    let urgent = enqueue(&mut queue, QueuedRequest { rank: 0, ..request() });
    assert_eq!(dequeue_all(queue), [urgent, under_way, returning, soon, later]);
}

#[test]
fn late_requests_go_after_those_that_can_be_in_time() {
    let mut queue = queue_of(8);
    queue.record_attempt_end(Duration::from_secs(2), NOW);
    let late =
        enqueue(&mut queue, QueuedRequest { due: NOW + Duration::from_secs(1), ..request() });
    let in_time = enqueue(&mut queue, request());
    assert_eq!(dequeue_all(queue), [in_time, late]);
}

#[test]
fn tenants_take_turns_by_tokens() {
    let mut queue = queue_of(8);
    let many = [0; 3].map(|_| enqueue(&mut queue, request()));
    let large = QueuedRequest { tenant: TenantKey(1), cost: Tokens(25), ..request() };
    let large = [0; 2].map(|_| enqueue(&mut queue, large));
    assert_eq!(dequeue_all(queue), [many[0], large[0], many[1], many[2], large[1]]);
}

#[test]
fn full_queue_displaces_its_last_request_for_a_more_urgent_one() {
    let mut queue = queue_of(2);
    let first = enqueue(&mut queue, QueuedRequest { stage: Stage::UnderWay, ..request() });
    let last = enqueue(&mut queue, request());
    assert_eq!(queue.enqueue(request(), NOW), Err(QueueRejection::QueueFull));
    let urgent = queue.enqueue(QueuedRequest { rank: 0, ..request() }, NOW).expect("it goes first");
    assert_eq!(urgent.displaced, [last]);
    assert_eq!(dequeue_all(queue), [urgent.ticket, first]);
}

#[test]
fn full_queue_displaces_the_tenant_with_the_highest_queued_cost() {
    let mut queue = queue_of(4);
    let others = QueuedRequest { tenant: TenantKey(1), ..request() };
    enqueue(&mut queue, others);
    let many = [0; 3].map(|_| enqueue(&mut queue, request()));
    let entry = queue.enqueue(others, NOW).expect("its tenant has less queued cost");
    assert_eq!(entry.displaced, [many[2]]);
}

#[test]
fn queue_is_bounded_in_bytes() {
    let settings = WaitingSettings { most_waiting_kb: 2, ..WaitingSettings::default() };
    let mut queue = AdmissionQueue::new(settings);
    enqueue(&mut queue, request());
    let long = QueuedRequest { bytes: 1_500, ..request() };
    assert_eq!(queue.enqueue(long, NOW), Err(QueueRejection::QueueFull));
    assert_eq!(queue.len(), 1);
}

#[test]
fn queue_without_places_refuses_at_once() {
    assert_eq!(queue_of(0).enqueue(request(), NOW), Err(QueueRejection::QueueFull));
}

#[test]
fn request_whose_turn_comes_too_late_is_refused_at_once() {
    let mut queue = queue_of(64);
    (0..4).for_each(|_| queue.record_attempt_end(Duration::from_millis(100), NOW));
    (0..20).for_each(|_| drop(queue.enqueue(request(), NOW)));
    let urgent = QueuedRequest { leave_by: NOW + Duration::from_millis(100), ..request() };
    assert_eq!(queue.enqueue(urgent, NOW), Err(QueueRejection::TooLate));
}

#[test]
fn refused_requests_come_back_one_after_the_other_by_rank() {
    let mut queue = queue_of(0);
    (0..20).for_each(|_| queue.record_attempt_end(Duration::from_millis(100), NOW));
    let mut retry_after =
        |rank| queue.retry_after(&QueuedRequest { rank, ..request() }, Duration::ZERO, NOW);
    let (first, second, urgent, third) =
        (retry_after(1), retry_after(1), retry_after(0), retry_after(1));
    assert!(urgent <= first && first < second && second < third);
}

#[test]
fn no_more_programs_start_than_can_be_served_while_servers_are_full() {
    let mut queue = queue_of(64);
    let under_way = QueuedRequest { stage: Stage::UnderWay, ..request() };
    for _ in 0..10 {
        queue.record_dispatch(&request(), NOW);
        (0..3).for_each(|_| queue.record_dispatch(&under_way, NOW));
    }
    assert!(queue.may_skip_queue(&request(), NOW), "programs are not paced yet");
    queue.record_servers_full(NOW);
    assert!(!queue.may_skip_queue(&request(), NOW));
    assert!(queue.may_skip_queue(&under_way, NOW));
    (0..45).for_each(|_| queue.record_attempt_end(Duration::from_millis(50), NOW));
    assert!(queue.may_skip_queue(&request(), NOW), "all promised turns are served");
}

#[test]
fn setting_out_of_bounds_is_named() {
    let settings = WaitingSettings { wait_share: 2.0, ..WaitingSettings::default() };
    let error = settings.check().expect_err("the share is above the maximum").to_string();
    assert!(error.contains("relay.waiting.wait_share"), "{error}");
}
