//! Bytes held for callers and servers that are slow: bounded, freed, and refused in time.

mod common;

use common::caller::{Caller, call, post};
use common::stand_in::{Got, StandIn, Step, answer, chunk, event, last_chunk, ok, stream_head};
use common::{Bed, once, resumable, route, service_name, table, turns, until};
use dahlia_ledger::{LedgerReply, OpenedTurn, TurnEnd};
use dahlia_relay::{MemoryLimits, RelaySettings, Route};
use dahlia_types::Duration;
use tokio::net::TcpListener;

const KB: usize = 1_024;

fn with_memory(memory_mb: u64) -> RelaySettings {
    RelaySettings { memory_mb: Some(memory_mb), ..RelaySettings::default() }
}

/// A request whose body is longer than what is sent of it.
fn begun(body_bytes: usize, sent_bytes: usize) -> String {
    let head =
        post("t", "", "").replace("Content-Length: 0", &format!("Content-Length: {body_bytes}"));
    head + &"x".repeat(sent_bytes)
}

async fn callers_that_upload(bed: &Bed, count: usize, sent_bytes: usize) -> Vec<Caller> {
    let mut callers = Vec::new();
    for _ in 0..count {
        let mut caller = Caller::new(bed.address).await;
        caller.send(&begun(sent_bytes + 1, sent_bytes)).await;
        callers.push(caller);
    }
    callers
}

fn holds(bed: &Bed, bytes: usize) -> bool {
    bed.relay.counters().held_bytes >= bytes as u64
}

fn holds_nothing(bed: &Bed) -> bool {
    bed.relay.counters().held_bytes == 0
}

#[tokio::test]
async fn while_many_upload_slowly_first_turns_are_refused_and_later_ones_served() {
    let server =
        StandIn::new("s-1", |got| vec![stream_head(got), chunk(&event(1, "a")), last_chunk()]);
    let server = server.await;
    let bed = Bed::with_settings(with_memory(1), Some(table(vec![turns()])), &[&server]).await;
    let slow = callers_that_upload(&bed, 3, 110 * KB).await;
    until("they are held", || holds(&bed, 3 * 110 * KB)).await;
    let first = call(bed.address, &post("t-1", "X-Program: p-1\r\n", "first")).await;
    assert_eq!(first.status, 503);
    assert!(first.header("retry-after").is_some());
    assert!(server.got().is_empty() && bed.ledger.opened().is_empty(), "it has not run");
    let lines = "X-Program: p-2\r\nX-Previous: t-0\r\n";
    let later = call(bed.address, &post("t-2", lines, "later")).await;
    assert_eq!((later.status, later.is_whole), (200, true));
    drop(slow);
    until("they are freed", || holds_nothing(&bed)).await;
    let first = call(bed.address, &post("t-3", "X-Program: p-3\r\n", "first")).await;
    assert_eq!(first.status, 200);
}

#[tokio::test]
async fn idle_connections_keep_no_first_turn_out() {
    const IDLE: usize = 60;
    let server =
        StandIn::new("s-1", |got| vec![stream_head(got), chunk(&event(1, "a")), last_chunk()]);
    let server = server.await;
    let bed = Bed::with_settings(with_memory(1), Some(table(vec![turns()])), &[&server]).await;
    let mut idle = Vec::new();
    for _ in 0..IDLE {
        idle.push(Caller::new(bed.address).await);
    }
    until("all are open", || bed.relay.counters().open_connections == IDLE as u64).await;
    let first = call(bed.address, &post("t-1", "X-Program: p-1\r\n", "first")).await;
    assert_eq!((first.status, first.is_whole), (200, true));
    assert!(bed.relay.counters().connection_buffer_bytes >= (IDLE * 16 * KB) as u64);
    drop(idle);
    until("none is open", || bed.relay.counters().connection_buffer_bytes == 0).await;
}

#[tokio::test]
async fn nothing_is_taken_beyond_the_bound_in_all() {
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::with_settings(with_memory(1), Some(table(vec![route()])), &[&server]).await;
    let bounds = MemoryLimits::new(&with_memory(1));
    let _slow = callers_that_upload(&bed, 8, 90 * KB).await;
    until("some are refused", || bed.relay.counters().refused > 0).await;
    assert!(bed.relay.counters().held_bytes <= bounds.total as u64);
}

#[tokio::test]
async fn a_body_that_does_not_come_in_its_callers_time_is_refused_unrun() {
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(table(vec![once()])), &[&server]).await;
    let request = begun(100, 1).replace("X-Attempt", "X-Deadline: 50\r\nX-Attempt");
    let reply = call(bed.address, &request).await;
    assert_eq!(reply.status, 408);
    assert!(server.got().is_empty());
}

#[tokio::test]
async fn answers_that_callers_do_not_read_count_until_they_are_taken() {
    const ANSWER: usize = 8 * 1024 * KB;
    let server = StandIn::new("s-1", |got| vec![answer(got, "200 OK", "", &"x".repeat(ANSWER))]);
    let server = server.await;
    let bed = Bed::with_settings(with_memory(64), Some(table(vec![once()])), &[&server]).await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let mut caller = Caller::new(bed.address).await;
        caller.send(&post("t", "", "")).await;
        callers.push(caller);
    }
    until("all are held", || holds(&bed, 3 * ANSWER)).await;
    assert_eq!(call(bed.address, &post("t", "", "")).await.status, 503);
    let read = callers.pop().expect("three").reply().await;
    assert_eq!((read.is_whole, read.body.len()), (true, ANSWER));
    until("one is freed", || !holds(&bed, 3 * ANSWER)).await;
    drop(callers);
    until("all are freed", || holds_nothing(&bed)).await;
}

#[tokio::test]
async fn answers_of_unknown_length_that_fill_the_bound_together_all_end() {
    const HALF: usize = 1_250 * KB;
    let server = StandIn::new("s-1", |got| {
        let half = chunk(&"x".repeat(HALF));
        vec![stream_head(got), half.clone(), Step::Wait, half, last_chunk()]
    });
    let server = server.await;
    let settings = RelaySettings { caller_share: 0.45, ..with_memory(8) };
    let bed = Bed::with_settings(settings, Some(table(vec![once()])), &[&server]).await;
    let mut callers = Vec::new();
    for _ in 0..2 {
        let mut caller = Caller::new(bed.address).await;
        caller.send(&post("t", "", "")).await;
        callers.push(caller);
    }
    until("both are held in part", || holds(&bed, 2 * HALF)).await;
    server.release();
    for mut caller in callers {
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.is_whole, reply.body.len()), (200, true, 2 * HALF));
    }
    until("nothing is held", || holds_nothing(&bed)).await;
}

#[tokio::test]
async fn an_answer_that_has_its_memory_goes_on_while_another_one_overdraws() {
    const ANSWER: usize = 2_048 * KB;
    let server = StandIn::new("s-1", |got| {
        if got.attempt() == "t-long" {
            let part = chunk(&"x".repeat(2_500 * KB));
            return vec![stream_head(got), part, Step::WaitForClose];
        }
        let Step::Send(text) = answer(got, "200 OK", "", &"x".repeat(ANSWER)) else {
            return vec![];
        };
        let (first, rest) = text.split_at(ANSWER / 2);
        vec![Step::Send(first.into()), Step::Wait, Step::Send(rest.into())]
    });
    let server = server.await;
    let settings = RelaySettings { caller_share: 0.45, ..with_memory(8) };
    let timeout = Duration::from_secs(600);
    let route = Route { timeout, ..once() };
    let bed = Bed::with_settings(settings, Some(table(vec![route])), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t-1", "", "")).await;
    until("it has its memory", || holds(&bed, ANSWER)).await;
    let mut long = Caller::new(bed.address).await;
    long.send(&post("t-long", "", "")).await;
    until("the other one overdraws", || holds(&bed, ANSWER + 2_500 * KB)).await;
    server.release();
    let reply = caller.reply().await;
    assert_eq!((reply.status, reply.body.len()), (200, ANSWER));
}

#[tokio::test]
async fn streams_that_fill_the_bound_together_all_end() {
    let server = StandIn::new("s-1", |got: &Got| {
        let events =
            |ids: std::ops::Range<u32>| ids.map(|id| chunk(&event(id, &"x".repeat(4 * KB))));
        let first = std::iter::once(stream_head(got)).chain(events(0..30)).chain([Step::Wait]);
        first.chain(events(30..40)).chain([last_chunk()]).collect()
    });
    let server = server.await;
    let settings = RelaySettings { caller_share: 0.3, held_share: 0.3, ..with_memory(1) };
    let bed = Bed::with_settings(settings, Some(table(vec![turns()])), &[&server]).await;
    let mut callers = Vec::new();
    for number in 0..3 {
        let mut caller = Caller::new(bed.address).await;
        let name = format!("X-Program: p-{number}\r\n");
        caller.send(&post(&format!("t-{number}"), &name, "")).await;
        callers.push(caller);
    }
    until("all have come", || server.got().len() == 3).await;
    until("they fill the bound", || holds(&bed, 290 * KB)).await;
    server.release();
    for mut caller in callers {
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.is_whole), (200, true));
    }
    until("nothing is held", || holds_nothing(&bed)).await;
}

#[tokio::test]
async fn events_that_come_again_in_a_kept_turn_are_not_held() {
    const EVENTS: u32 = 10;
    let order = std::sync::Arc::new(std::sync::Mutex::new(0));
    let script = move |got: &Got| {
        let mut order = order.lock().expect("whole");
        *order += 1;
        let events = (1..=EVENTS).map(|id| chunk(&event(id, &"x".repeat(8 * KB))));
        let begun = std::iter::once(stream_head(got)).chain(events);
        let last = [chunk(&event(EVENTS + 1, "last")), Step::Wait, last_chunk()];
        match *order {
            1 => begun.chain([Step::Close]).collect(),
            _ => begun.chain(last).collect::<Vec<_>>(),
        }
    };
    let servers = [StandIn::new("s-1", script.clone()).await, StandIn::new("s-2", script).await];
    let timeout = Duration::from_secs(600);
    let kept = Route { retains_turns: true, timeout, ..resumable() };
    let bed = Bed::new(Some(table(vec![kept])), &[&servers[0], &servers[1]]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t-1", "X-Program: p-1\r\n", "first")).await;
    caller.head().await;
    let mut text = String::new();
    while !text.contains("last") {
        text.push_str(&caller.chunk().await.expect("it goes on"));
    }
    let once = text.len() + KB;
    until("it is held once", || !holds(&bed, once)).await;
    servers.iter().for_each(StandIn::release);
}

#[tokio::test]
async fn an_answer_that_this_gateway_cannot_hold_is_not_its_servers_fault() {
    let server = StandIn::new("s-1", |got| {
        vec![stream_head(got), chunk(&"x".repeat(300 * KB)), last_chunk()]
    });
    let server = server.await;
    let bed = Bed::with_settings(with_memory(1), Some(table(vec![route()])), &[&server]).await;
    bed.add("s-2", server.address);
    let registry = prometheus::Registry::new();
    bed.relay.register_metrics(&registry).expect("names of its own");
    let reply = call(bed.address, &post("t-long", "", "")).await;
    assert_eq!((reply.status, bed.relay.counters().attempts), (502, 1), "no second attempt");
    let text = prometheus::TextEncoder::new().encode_to_string(&registry.gather()).expect("text");
    assert!(text.contains("attempt_failures_total{end=\"cancelled\"} 1"), "{text}");
}

#[tokio::test]
async fn an_answer_of_unknown_length_may_take_all_that_its_caller_may_have() {
    const ANSWER: usize = 190 * KB;
    let server =
        StandIn::new("s-1", |got| vec![stream_head(got), chunk(&"x".repeat(ANSWER)), last_chunk()]);
    let server = server.await;
    let bed = Bed::with_settings(with_memory(1), Some(table(vec![route()])), &[&server]).await;
    let reply = call(bed.address, &post("t-1", "", "")).await;
    assert_eq!((reply.status, reply.body.len()), (200, ANSWER));
}

#[tokio::test]
async fn a_caller_that_takes_nothing_of_a_stream_is_cut_and_frees_its_place_at_the_server() {
    const LONG: usize = 32 * 1024 * KB;
    let server = StandIn::new("s-1", |got| {
        vec![stream_head(got), chunk(&event(1, "a")), chunk(&"x".repeat(LONG)), Step::WaitForClose]
    });
    let server = server.await;
    let unhurried = Route { timeout: Duration::from_secs(600), ..resumable() };
    let settings = RelaySettings { caller_stall_ms: 100, ..RelaySettings::default() };
    let bed = Bed::with_settings(settings, Some(table(vec![unhurried])), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t", "", "")).await;
    assert_eq!(caller.head().await.status, 200);
    let in_flight = || bed.backends.lock().expect("whole").in_flight(&service_name());
    until("its place is free", || in_flight() == 0).await;
    until("nothing is held", || holds_nothing(&bed)).await;
    while caller.chunk().await.is_some_and(|chunk| !chunk.is_empty()) {}
}

#[tokio::test]
async fn a_server_that_does_not_read_gets_no_more_than_its_bound() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let bed = Bed::with_settings(with_memory(8), Some(table(vec![once()])), &[]).await;
    bed.add("s-1", listener.local_addr().expect("its address"));
    let body = "x".repeat(800 * KB);
    let mut first = Caller::new(bed.address).await;
    first.send(&post("t-1", "", &body)).await;
    let in_flight = || bed.backends.lock().expect("whole").in_flight(&service_name());
    until("the first is on its way", || in_flight() == 1).await;
    let second = call(bed.address, &post("t-2", "", &body)).await;
    assert_eq!(second.status, 503);
}

#[tokio::test]
async fn a_prompt_with_more_history_than_may_be_held_is_refused_unrun() {
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::with_settings(with_memory(1), Some(table(vec![turns()])), &[&server]).await;
    let history = vec![b'x'; 300 * KB];
    bed.ledger.next_open(Ok(LedgerReply::Opened(OpenedTurn { history, last_served_by: None })));
    let lines = "X-Program: p-1\r\nX-Previous: t-0\r\n";
    let reply = call(bed.address, &post("t-1", lines, "later")).await;
    assert_eq!(reply.status, 503);
    until("it is settled", || bed.ledger.ends() == [TurnEnd::NotRun]).await;
    assert!(server.got().is_empty());
}

#[tokio::test]
async fn a_turn_whose_output_is_more_than_may_be_held_is_broken_off() {
    let server = StandIn::new("s-1", |got: &Got| {
        let events = (1..100).map(|id| chunk(&event(id, &"x".repeat(8 * KB))));
        std::iter::once(stream_head(got)).chain(events).chain([last_chunk()]).collect()
    });
    let server = server.await;
    let bed = Bed::with_settings(with_memory(1), Some(table(vec![turns()])), &[&server]).await;
    let reply = call(bed.address, &post("t-1", "X-Program: p-1\r\n", "first")).await;
    assert!(!reply.is_whole);
    until("it is settled", || bed.ledger.ends() == [TurnEnd::Incomplete]).await;
    until("nothing is held", || holds_nothing(&bed)).await;
}

#[tokio::test]
async fn the_body_of_a_stream_that_cannot_go_on_elsewhere_is_not_kept() {
    let server = StandIn::new("s-1", |got| {
        vec![stream_head(got), chunk(&event(1, "a")), Step::Wait, last_chunk()]
    });
    let server = server.await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t-1", "X-Program: p-1\r\n", &"x".repeat(500 * KB))).await;
    caller.head().await;
    assert!(!holds(&bed, 100 * KB));
    server.release();
}

#[test]
fn bounds_follow_from_the_memory_of_the_process() {
    let bounds = MemoryLimits::new(&with_memory(100));
    let expected = MemoryLimits {
        total: 50 * 1024 * KB,
        first_turns: 30 * 1024 * KB,
        caller: 20 * 1024 * KB,
        server: 15 * 1024 * KB,
    };
    assert_eq!(bounds, expected);
}

#[test]
fn without_a_stated_memory_there_are_no_bounds() {
    let bounds = MemoryLimits::new(&RelaySettings::default());
    let none = usize::MAX;
    let expected = MemoryLimits { total: none, first_turns: none, caller: none, server: none };
    assert_eq!(bounds, expected);
}

#[test]
fn a_share_that_exceeds_what_may_be_held_is_named() {
    let settings = RelaySettings { caller_share: 0.8, ..RelaySettings::default() };
    let error = settings.check().expect_err("more than is held in all").to_string();
    assert!(error.contains("relay.caller_share") && error.contains("0.5"), "{error}");
}
